/** The body of a failure that a server answers has no end. */
final class EndlessBody {

    private EndlessBody() {}

    public static void main(String[] arguments) {
        Case.run(
                arguments,
                (deployment, journal, withTrouble) ->
                        EndlessAnswers.run(deployment, journal, withTrouble, "500 Internal Server Error"));
    }
}
