package org.redwinghook.runtime.process;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

import io.vavr.control.Either;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetServer;
import org.redwinghook.core.document.Finding;
import org.redwinghook.runtime.settings.Address;

/** Process for tests, run as a subprocess. It listens on the port that its settings file contains. */
public final class LaunchedProcess implements ManagedProcess {

    /** Environment variable with the name of a {@link Fault}. */
    static final String FAULT_VARIABLE = "LAUNCHED_PROCESS_FAULT";

    private static final long DRAIN_MILLIS = 500;
    /** Time that a slow start takes after the process listens, in milliseconds. */
    static final long SLOW_START_MILLIS = 1_500;

    private final Vertx vertx;
    private final int port;

    private LaunchedProcess(Vertx vertx, int port) {
        this.vertx = vertx;
        this.port = port;
    }

    /**
     * Runs the process.
     *
     * @param arguments the command line
     */
    public static void main(String[] arguments) {
        System.exit(launcher().run(arguments).number());
    }

    static ProcessLauncher<Integer> launcher() {
        return new ProcessLauncher<>(
                "launched", LaunchedProcess::readPort, (vertx, port) -> create(vertx, port.current()));
    }

    private static LaunchedProcess create(Vertx vertx, int port) {
        if (hasFault(Fault.SLOW_CREATION)) {
            System.out.println("creating");
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(SLOW_START_MILLIS));
        }
        return new LaunchedProcess(vertx, port);
    }

    private static Either<List<Finding>, Integer> readPort(String file, String text) {
        try {
            return Either.right(Integer.valueOf(text.strip()));
        } catch (NumberFormatException exception) {
            return Either.left(List.of(new Finding(file, 1, 1, "port", "must be a number")));
        }
    }

    @Override
    public Future<Void> start() {
        Address address = new Address("127.0.0.1", port);
        NetServer server = vertx.createNetServer().connectHandler(socket -> socket.close());
        Future<Void> listening = ListenErrors.withAddress(address, server.listen(port, address.host()))
                .mapEmpty();
        if (!hasFault(Fault.SLOW_START)) {
            return listening;
        }
        return listening
                .onSuccess(ignored -> System.out.println("listening"))
                .compose(ignored -> vertx.timer(SLOW_START_MILLIS, TimeUnit.MILLISECONDS))
                .mapEmpty();
    }

    @Override
    public Future<Void> stopGracefully() {
        if (hasFault(Fault.STOP_THROWS)) {
            throw new IllegalStateException("no drain");
        }
        return vertx.timer(DRAIN_MILLIS, TimeUnit.MILLISECONDS).mapEmpty();
    }

    @Override
    public Future<Void> stopGracefully(long signalAgeMillis) {
        if (hasFault(Fault.SLOW_START)) {
            System.out.println("signalAgeMillis=" + signalAgeMillis);
        }
        return stopGracefully();
    }

    private static boolean hasFault(Fault fault) {
        return fault.name().equals(System.getenv(FAULT_VARIABLE));
    }

    /** Fault of a process under test. */
    enum Fault {
        /** The start takes a while after the process listens. */
        SLOW_START,
        /** The creation of the services takes a while. */
        SLOW_CREATION,
        /** The graceful stop throws an exception. */
        STOP_THROWS
    }
}
