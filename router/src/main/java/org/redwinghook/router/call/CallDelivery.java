package org.redwinghook.router.call;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

import org.jspecify.annotations.Nullable;
import org.redwinghook.core.message.CallAnswer;
import org.redwinghook.core.message.CallRequest;
import org.redwinghook.core.message.Message;
import org.redwinghook.core.message.OutcomeUnknown;
import org.redwinghook.core.message.RefusalReason;
import org.redwinghook.core.message.Refused;
import org.redwinghook.core.message.Submit;
import org.redwinghook.core.routing.EndpointSelector;
import org.redwinghook.core.routing.EndpointView;
import org.redwinghook.core.routing.RoutingQuery;
import org.redwinghook.router.endpoint.EndpointConnection;
import org.redwinghook.router.endpoint.EndpointDirectory;
import org.redwinghook.router.endpoint.ExchangeListener;

/**
 * Brings the answer of a plain service to one caller. A call that is not idempotent goes to another endpoint only after
 * a refusal, which says that it was not run.
 */
public final class CallDelivery implements ExchangeListener {

    private static final long RETRY_AFTER_MILLIS = 1_000;

    private final EndpointDirectory directory;
    private final EndpointSelector selector;
    private final Submit template;
    private final CallRequest call;
    private final RoutingQuery query;
    private final int mostAttempts;
    private final CallSink sink;
    private final Set<String> tried = new HashSet<>();
    private int attempts;
    private boolean ended;
    private @Nullable Refused lastRefusal;

    /**
     * Prepares a delivery.
     *
     * @param directory endpoints
     * @param selector selects among them
     * @param template request; its exchange number is replaced at each attempt
     * @param call the call
     * @param query how to select the first endpoint
     * @param mostAttempts attempts allowed
     * @param sink the caller
     */
    public CallDelivery(
            EndpointDirectory directory,
            EndpointSelector selector,
            Submit template,
            CallRequest call,
            RoutingQuery query,
            int mostAttempts,
            CallSink sink) {
        this.directory = directory;
        this.selector = selector;
        this.template = template;
        this.call = call;
        this.query = query;
        this.mostAttempts = mostAttempts;
        this.sink = sink;
    }

    /** Sends the call to the best endpoint. */
    public void start() {
        while (attempts < mostAttempts) {
            RoutingQuery next = new RoutingQuery(query.affinityHash(), query.pinned(), 0, tried);
            Optional<EndpointView> chosen = selector.select(directory.views(template.service()), next);
            if (chosen.isEmpty()) {
                break;
            }
            tried.add(chosen.get().vm());
            attempts++;
            EndpointConnection connection =
                    directory.connection(chosen.get().vm()).orElse(null);
            if (connection != null && connection.start(this, this::submit).isPresent()) {
                return;
            }
        }
        refuse();
    }

    @Override
    public void message(Message message) {
        if (ended) {
            return;
        }
        if (message instanceof CallAnswer answer) {
            ended = true;
            sink.answered(answer);
        } else if (message instanceof OutcomeUnknown unknown) {
            lost(unknown.detail());
        } else if (message instanceof Refused refused) {
            lastRefusal = refused;
            if (refused.reason().retryElsewhere()) {
                start();
            } else {
                refuse();
            }
        }
    }

    @Override
    public void connectionLost() {
        if (!ended) {
            lost("the connection to the endpoint was lost during the call");
        }
    }

    private void lost(String detail) {
        if (call.idempotent() && attempts < mostAttempts) {
            start();
            return;
        }
        ended = true;
        sink.unknown(detail);
    }

    private Submit submit(long number) {
        return new Submit(
                number,
                template.service(),
                template.owner(),
                template.customer(),
                template.priority(),
                template.timeoutMillis(),
                0,
                null,
                call);
    }

    private void refuse() {
        ended = true;
        if (lastRefusal == null) {
            sink.refused(RefusalReason.NO_ENDPOINT, "no endpoint takes new work", RETRY_AFTER_MILLIS);
            return;
        }
        sink.refused(lastRefusal.reason(), lastRefusal.detail(), lastRefusal.retryAfterMillis());
    }
}
