package org.redwinghook.router.generation;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.jspecify.annotations.Nullable;
import org.redwinghook.core.message.Accepted;
import org.redwinghook.core.message.Credit;
import org.redwinghook.core.message.Finished;
import org.redwinghook.core.message.Interrupted;
import org.redwinghook.core.message.Message;
import org.redwinghook.core.message.RefusalReason;
import org.redwinghook.core.message.Refused;
import org.redwinghook.core.message.Submit;
import org.redwinghook.core.message.Tokens;
import org.redwinghook.core.routing.EndpointSelector;
import org.redwinghook.core.routing.EndpointView;
import org.redwinghook.core.routing.RoutingQuery;
import org.redwinghook.core.stream.DeliveryCursor;
import org.redwinghook.router.endpoint.EndpointConnection;
import org.redwinghook.router.endpoint.EndpointDirectory;
import org.redwinghook.router.endpoint.ExchangeListener;

/**
 * Brings one generation to one caller. Before the first token another endpoint may be tried; afterwards the generation
 * is the only one that the caller ever sees.
 */
public final class GenerationDelivery implements ExchangeListener {

    /** Tokens granted beyond what the caller's socket took. */
    public static final int CREDIT = 256;

    private static final long RETRY_AFTER_MILLIS = 1_000;

    private final EndpointDirectory directory;
    private final EndpointSelector selector;
    private final Submit template;
    private final long affinityHash;
    private final int mostAttempts;
    private final GenerationSink sink;
    private final Set<String> tried = new HashSet<>();
    private DeliveryCursor cursor = new DeliveryCursor(0);
    private String generation = "";
    private int attempts;
    private boolean ended;
    private @Nullable EndpointConnection connection;
    private long exchange;
    private @Nullable Refused lastRefusal;

    /**
     * Prepares a delivery.
     *
     * @param directory endpoints
     * @param selector selects among them
     * @param template request; its exchange number is replaced at each attempt
     * @param affinityHash hash of the prompt's prefix
     * @param mostAttempts attempts allowed
     * @param sink the caller
     */
    public GenerationDelivery(
            EndpointDirectory directory,
            EndpointSelector selector,
            Submit template,
            long affinityHash,
            int mostAttempts,
            GenerationSink sink) {
        this.directory = directory;
        this.selector = selector;
        this.template = template;
        this.affinityHash = affinityHash;
        this.mostAttempts = mostAttempts;
        this.sink = sink;
    }

    /** Starts the generation at the best endpoint. */
    public void start() {
        while (attempts < mostAttempts) {
            RoutingQuery query = new RoutingQuery(affinityHash, false, promptTokens(), tried);
            Optional<EndpointView> chosen = selector.select(directory.views(template.service()), query);
            if (chosen.isEmpty()) {
                break;
            }
            tried.add(chosen.get().vm());
            attempts++;
            if (submitTo(chosen.get().vm())) {
                return;
            }
        }
        refuse();
    }

    /**
     * Grants more tokens after the caller's socket took some.
     *
     * @param deliveredThrough last sequence number that the socket took
     */
    public void socketTook(long deliveredThrough) {
        if (!ended && connection != null) {
            connection.send(new Credit(exchange, deliveredThrough, deliveredThrough + CREDIT));
        }
    }

    /** The caller went away. */
    public void callerGone() {
        if (ended) {
            return;
        }
        ended = true;
        if (connection != null) {
            connection.cancel(exchange, true);
        }
    }

    @Override
    public void message(Message message) {
        if (ended) {
            return;
        }
        if (message instanceof Accepted accepted) {
            generation = accepted.generation();
        } else if (message instanceof Tokens tokens) {
            deliver(tokens);
        } else if (message instanceof Finished finished) {
            finish(finished);
        } else if (message instanceof Interrupted interrupted) {
            failed(interrupted.detail());
        } else if (message instanceof Refused refused) {
            refused(refused);
        }
    }

    @Override
    public void connectionLost() {
        if (!ended) {
            failed("the connection to the endpoint was lost");
        }
    }

    private boolean submitTo(String vm) {
        EndpointConnection chosen = directory.connection(vm).orElse(null);
        if (chosen == null) {
            return false;
        }
        Optional<Long> started = chosen.start(this, this::submit);
        if (started.isEmpty()) {
            return false;
        }
        connection = chosen;
        exchange = started.get();
        return true;
    }

    private Submit submit(long number) {
        return new Submit(
                number,
                template.service(),
                template.owner(),
                template.customer(),
                template.priority(),
                template.timeoutMillis(),
                CREDIT,
                template.generation(),
                null);
    }

    private void deliver(Tokens tokens) {
        long first = cursor.delivered() + 1;
        List<String> fresh = cursor.take(tokens.firstSequence(), tokens.texts()).getOrElse(List.of());
        if (!fresh.isEmpty()) {
            sink.tokens(generation, first, fresh);
        }
    }

    private void finish(Finished finished) {
        if (finished.lastSequence() != cursor.delivered()) {
            failed("tokens are missing at the end");
            return;
        }
        ended = true;
        sink.finished(generation, finished.reason(), finished.usage());
    }

    private void refused(Refused refused) {
        lastRefusal = refused;
        if (refused.reason().retryElsewhere()) {
            start();
            return;
        }
        refuse();
    }

    private void failed(String detail) {
        if (cursor.delivered() == 0) {
            cursor = new DeliveryCursor(0);
            start();
            return;
        }
        ended = true;
        sink.interrupted(detail, cursor.delivered());
    }

    private void refuse() {
        ended = true;
        if (lastRefusal == null) {
            sink.refused(RefusalReason.NO_ENDPOINT, "no endpoint takes new work", RETRY_AFTER_MILLIS);
            return;
        }
        sink.refused(lastRefusal.reason(), lastRefusal.detail(), lastRefusal.retryAfterMillis());
    }

    private int promptTokens() {
        return template.generation() == null ? 0 : template.generation().promptTokens();
    }
}
