package org.redwinghook.router.caller;

import java.util.Optional;
import java.util.Set;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.ext.web.RoutingContext;
import org.jspecify.annotations.Nullable;
import org.redwinghook.core.config.Configuration;
import org.redwinghook.core.config.Customer;
import org.redwinghook.core.config.Service;
import org.redwinghook.core.config.ServiceKind;
import org.redwinghook.core.message.CallAnswer;
import org.redwinghook.core.message.CallRequest;
import org.redwinghook.core.message.RefusalReason;
import org.redwinghook.core.message.Submit;
import org.redwinghook.core.once.OperationKey;
import org.redwinghook.core.routing.RendezvousHash;
import org.redwinghook.core.routing.RoutingQuery;
import org.redwinghook.router.call.CallDelivery;
import org.redwinghook.router.call.CallSink;
import org.redwinghook.router.endpoint.DeliveryContext;
import org.redwinghook.router.endpoint.EndpointCandidates;
import org.redwinghook.router.limit.RequestLimits;
import org.redwinghook.runtime.config.ConfigurationSource;

/** Handles calls to plain services under /services/NAME/. */
public final class ServiceCallHandler {

    private static final String PATH_PREFIX = "/services/";
    private static final int HTTP_NOT_FOUND = 404;
    private static final int HTTP_BAD_GATEWAY = 502;

    private final ConfigurationSource configuration;
    private final Authenticator authenticator;
    private final DeliveryContext deliveries;
    private final RequestLimits limits;
    private final long timeoutMillis;

    /**
     * Creates the handler.
     *
     * @param configuration source of the configuration in force
     * @param authenticator identifies customers
     * @param deliveries dependencies shared by all deliveries
     * @param limits limits and counts the requests of customers
     * @param timeoutMillis maximum time until the answer
     */
    public ServiceCallHandler(
            ConfigurationSource configuration,
            Authenticator authenticator,
            DeliveryContext deliveries,
            RequestLimits limits,
            long timeoutMillis) {
        this.configuration = configuration;
        this.authenticator = authenticator;
        this.deliveries = deliveries;
        this.limits = limits;
        this.timeoutMillis = timeoutMillis;
    }

    /**
     * Handles a call to a plain service.
     *
     * @param context the request, with its body read
     */
    public void handle(RoutingContext context) {
        HttpServerRequest request = context.request();
        CallerResponse response = CallerResponse.of(context);
        Optional<Customer> customer = authenticator.authenticate(context);
        if (customer.isEmpty()) {
            return;
        }
        String remainder = request.uri().substring(PATH_PREFIX.length());
        int slash = remainder.indexOf('/');
        String name = slash < 0 ? remainder : remainder.substring(0, slash);
        String path = slash < 0 ? "/" : remainder.substring(slash);
        Configuration current = configuration.current();
        Optional<Service> service = current.service(name).filter(found -> found.kind() == ServiceKind.PLAIN);
        if (service.isEmpty()) {
            CallerErrors.reject(response, HTTP_NOT_FOUND, "unknown_service", "there is no service '" + name + "'");
            return;
        }
        start(
                response,
                customer.get(),
                service.get(),
                createCall(request, path, service.get(), context.body().buffer()));
    }

    private void start(CallerResponse response, Customer customer, Service service, CallRequest call) {
        Submit submit = new Submit(
                0,
                service.name(),
                customer.owner(),
                customer.name(),
                customer.priority(),
                timeoutMillis,
                0,
                null,
                call);
        limits.admitCall(customer, submit).onSuccess(admission -> {
            if (response.http().closed()) {
                admission.releaseReservation();
                return;
            }
            admission
                    .refusal()
                    .ifPresentOrElse(
                            refusal -> CallerErrors.refuse(
                                    response, refusal.reason(), refusal.detail(), refusal.retryAfterMillis()),
                            () -> deliver(response, submit, call, createQuery(customer, call), admission));
        });
    }

    private void deliver(
            CallerResponse response,
            Submit submit,
            CallRequest call,
            RoutingQuery query,
            RequestLimits.Admission admission) {
        EndpointCandidates candidates = new EndpointCandidates(
                deliveries,
                submit.service(),
                query,
                configuration.current().rules().attempts());
        CallDelivery delivery =
                new CallDelivery(deliveries, submit, call, candidates, admission.metered(new ResponseSink(response)));
        response.http().closeHandler(ignored -> delivery.handleCallerGone());
        delivery.start();
    }

    private static RoutingQuery createQuery(Customer customer, CallRequest call) {
        String key = call.idempotencyKey();
        if (key == null || call.idempotent()) {
            return new RoutingQuery(0, false, 0, Set.of());
        }
        // Calls with keys of one partition go to the same sidecar, so that it can commit them in groups. Correctness
        // does not depend on this.
        int partition = new OperationKey(customer.name(), key).partition();
        return new RoutingQuery(RendezvousHash.hash("partition " + partition), true, 0, Set.of());
    }

    private static CallRequest createCall(
            HttpServerRequest request, String path, Service service, @Nullable Buffer body) {
        int queryStart = path.indexOf('?');
        String pathWithoutQuery = queryStart < 0 ? path : path.substring(0, queryStart);
        return new CallRequest(
                request.method().name(),
                path,
                request.getHeader("content-type"),
                body == null ? new byte[0] : body.getBytes(),
                request.getHeader("Idempotency-Key"),
                service.isIdempotent(request.method().name(), pathWithoutQuery));
    }

    private record ResponseSink(CallerResponse response) implements CallSink {

        @Override
        public void onAnswer(CallAnswer answer) {
            if (response.http().closed()) {
                return;
            }
            HttpServerResponse http = response.http();
            if (answer.contentType() != null) {
                http.putHeader("content-type", answer.contentType());
            }
            if (answer.replayed()) {
                http.putHeader("Redwinghook-Replayed", "true");
            }
            http.setStatusCode(answer.status()).putHeader(Outcome.HEADER, Outcome.DONE.headerValue());
            response.end(Buffer.buffer(answer.body()));
        }

        @Override
        public void onUnknownOutcome(String detail) {
            CallerErrors.respond(
                    response, HTTP_BAD_GATEWAY, Outcome.UNKNOWN, CallerErrors.body("outcome_unknown", detail));
        }

        @Override
        public void onCallerGone() {
            // The caller's connection has closed.
        }

        @Override
        public void onRefused(RefusalReason reason, String detail, long retryAfterMillis) {
            CallerErrors.refuse(response, reason, detail, retryAfterMillis);
        }
    }
}
