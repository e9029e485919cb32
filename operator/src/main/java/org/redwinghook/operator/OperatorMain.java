package org.redwinghook.operator;

import io.vertx.core.Vertx;
import org.redwinghook.runtime.process.ExitCode;

/** Entry point of {@code redwinghook}, the operators' command. */
public final class OperatorMain {

    private OperatorMain() {}

    /**
     * Runs one command.
     *
     * @param arguments the command line
     */
    public static void main(String[] arguments) {
        Vertx vertx = Vertx.vertx();
        ExitCode code = new OperatorCommandLine(vertx, System.out, System.err).run(arguments);
        vertx.close().await();
        System.exit(code.number());
    }
}
