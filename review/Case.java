import java.nio.file.Path;

/** Runs one case. Its run.sh ends with 1 if the rule was broken, 0 if it held and 2 if the case could not run. */
final class Case {

    /** The steps of a case. */
    interface Steps {
        /** Returns whether the rule was broken. */
        boolean run(Deployment deployment, Journal journal, boolean withTrouble) throws Exception;
    }

    /** Exit code of this process for a broken rule; the Java launcher itself uses 1 for failures of its own. */
    private static final int BROKEN = 111;

    private static final int NOT_RUN = 2;

    private Case() {}

    static void run(String[] arguments, Steps steps) {
        boolean withTrouble = !"0".equals(System.getenv("TROUBLE"));
        int result;
        try (Journal journal = new Journal(Path.of(arguments[0]))) {
            journal.add("disruption: " + (withTrouble ? "yes" : "no (TROUBLE=0)"));
            try (Deployment deployment = new Deployment(journal)) {
                Runtime.getRuntime().addShutdownHook(new Thread(deployment::endAtExit));
                result = steps.run(deployment, journal, withTrouble) ? BROKEN : 0;
                journal.add(result == BROKEN ? "the rule was BROKEN" : "the rule held");
                for (Deployment.Router router : deployment.routers) {
                    deployment.copyLog(router, 40);
                }
            } catch (Exception exception) {
                journal.add("the case could not run: " + exception);
                result = NOT_RUN;
            }
        } catch (Exception exception) {
            System.err.println("the case could not run: " + exception);
            result = NOT_RUN;
        }
        System.exit(result);
    }
}
