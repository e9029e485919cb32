/** The stream of a draft brings bytes that are no event, without end. */
final class EndlessEvent {

    private EndlessEvent() {}

    public static void main(String[] arguments) {
        Case.run(
                arguments,
                (deployment, journal, withTrouble) ->
                        EndlessAnswers.run(deployment, journal, withTrouble, "200 OK"));
    }
}
