package org.redwinghook.router.caller;

import java.util.List;
import java.util.Optional;
import java.util.Set;

import io.vavr.control.Either;
import io.vertx.ext.web.RoutingContext;
import org.jspecify.annotations.Nullable;
import org.redwinghook.core.config.Configuration;
import org.redwinghook.core.config.Customer;
import org.redwinghook.core.config.Service;
import org.redwinghook.core.config.ServiceKind;
import org.redwinghook.core.message.GenerationRequest;
import org.redwinghook.core.message.Submit;
import org.redwinghook.core.routing.RendezvousHash;
import org.redwinghook.core.routing.RoutingQuery;
import org.redwinghook.core.stream.EventId;
import org.redwinghook.router.endpoint.DeliveryContext;
import org.redwinghook.router.endpoint.EndpointCandidates;
import org.redwinghook.router.endpoint.EndpointConnection;
import org.redwinghook.router.generation.GenerationDelivery;
import org.redwinghook.router.generation.GenerationSink;
import org.redwinghook.router.limit.RequestLimits;
import org.redwinghook.runtime.config.ConfigurationSource;

/** Handles POST /v1/completions, POST /v1/chat/completions and GET /v1/generations/GENERATION/events. */
public final class CompletionHandler {

    private static final String LAST_EVENT_ID = "Last-Event-ID";
    private static final int HTTP_NOT_FOUND = 404;
    /** Characters at the start of a prompt whose hash selects the preferred endpoint. */
    private static final int AFFINITY_PREFIX_CHARACTERS = 256;
    /** Characters of a prompt that count as one token. */
    private static final int CHARACTERS_PER_TOKEN = 4;

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
     * @param timeoutMillis maximum time until the first token
     */
    public CompletionHandler(
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
     * Handles a request that starts a generation, or resumes one if it has the header Last-Event-ID.
     *
     * @param context the request, with its body read
     * @param format format of the request and the response
     */
    public void handleCompletion(RoutingContext context, CompletionFormat format) {
        CallerResponse response = CallerResponse.of(context);
        Optional<Customer> customer = authenticator.authenticate(context);
        if (customer.isEmpty()) {
            return;
        }
        Either<List<String>, CompletionRequest> parsed =
                CompletionRequest.read(context.body().buffer(), format);
        if (parsed.isLeft()) {
            CallerErrors.rejectBody(response, parsed.getLeft());
            return;
        }
        CompletionRequest request = parsed.get();
        String lastEvent = context.request().getHeader(LAST_EVENT_ID);
        if (lastEvent != null) {
            resume(response, customer.get(), format, lastEvent, request.model());
            return;
        }
        Configuration current = configuration.current();
        Optional<Service> service =
                current.service(request.model()).filter(found -> found.kind() == ServiceKind.ENGINE);
        if (service.isEmpty()) {
            CallerErrors.reject(
                    response, HTTP_NOT_FOUND, "unknown_model", "there is no model '" + request.model() + "'");
            return;
        }
        start(response, format, request, createSubmit(customer.get(), service.get(), request), customer.get());
    }

    /**
     * Handles a request that resumes a generation.
     *
     * @param context the request
     */
    public void handleEvents(RoutingContext context) {
        Optional<Customer> customer = authenticator.authenticate(context);
        if (customer.isEmpty()) {
            return;
        }
        String generation = context.pathParam("generation");
        String lastEvent = context.request().getHeader(LAST_EVENT_ID);
        if (lastEvent != null && !lastEvent.startsWith(generation + ".")) {
            CallerErrors.rejectBody(CallerResponse.of(context), List.of("'Last-Event-ID' names another generation"));
            return;
        }
        boolean isChat = "chat".equals(context.request().getParam("format"));
        resume(
                CallerResponse.of(context),
                customer.get(),
                isChat ? CompletionFormat.CHAT : CompletionFormat.TEXT,
                lastEvent == null ? generation + ".0" : lastEvent,
                null);
    }

    private void start(
            CallerResponse response,
            CompletionFormat format,
            CompletionRequest request,
            Submit submit,
            Customer customer) {
        limits.admitGeneration(customer, submit).onSuccess(admission -> {
            if (response.http().closed()) {
                admission.releaseReservation();
                return;
            }
            if (admission.refusal().isPresent()) {
                CallerErrors.refuse(
                        response,
                        admission.refusal().get().reason(),
                        admission.refusal().get().detail(),
                        admission.refusal().get().retryAfterMillis());
                return;
            }
            deliver(response, format, request, submit, admission);
        });
    }

    private void deliver(
            CallerResponse response,
            CompletionFormat format,
            CompletionRequest request,
            Submit submit,
            RequestLimits.Admission admission) {
        StreamedCompletion streamed = new StreamedCompletion(response, format, request.model());
        BufferedCompletion buffered = new BufferedCompletion(response, format, request.model());
        GenerationSink sink = admission.metered(request.stream() ? streamed : buffered);
        String prefix = request.prompt()
                .substring(
                        0, Math.min(AFFINITY_PREFIX_CHARACTERS, request.prompt().length()));
        GenerationDelivery delivery = new GenerationDelivery(deliveries, submit.customer(), sink);
        streamed.onWritten(delivery::recordWritten);
        buffered.onCollected(delivery::recordWritten);
        response.http().closeHandler(ignored -> delivery.handleCallerGone());
        GenerationRequest generation = submit.generation();
        RoutingQuery query = new RoutingQuery(
                RendezvousHash.hash(prefix), false, generation == null ? 0 : generation.promptTokens(), Set.of());
        delivery.start(
                submit,
                new EndpointCandidates(
                        deliveries,
                        submit.service(),
                        query,
                        configuration.current().rules().attempts()));
    }

    private void resume(
            CallerResponse response,
            Customer customer,
            CompletionFormat format,
            String lastEvent,
            @Nullable String model) {
        Optional<EventId> position = EventId.parse(lastEvent);
        if (position.isEmpty()) {
            CallerErrors.rejectBody(response, List.of("'Last-Event-ID' is not an identifier of an event"));
            return;
        }
        String service = deliveries
                .directory()
                .connection(position.get().vm())
                .map(EndpointConnection::member)
                .map(member -> member.service() == null ? "" : member.service())
                .orElse("");
        StreamedCompletion streamed = new StreamedCompletion(response, format, model == null ? service : model);
        GenerationDelivery delivery =
                new GenerationDelivery(deliveries, customer.name(), limits.meteredResume(customer, service, streamed));
        streamed.onWritten(delivery::recordWritten);
        response.http().closeHandler(ignored -> delivery.handleCallerGone());
        delivery.resumeAfter(position.get());
    }

    private Submit createSubmit(Customer customer, Service service, CompletionRequest request) {
        int serviceMaximumTokens = service.maximumOutputTokens();
        int maximumTokens = request.maximumTokens() == 0
                ? serviceMaximumTokens
                : Math.min(serviceMaximumTokens, request.maximumTokens());
        int promptTokens = Math.max(1, request.prompt().length() / CHARACTERS_PER_TOKEN);
        return new Submit(
                0,
                service.name(),
                customer.owner(),
                customer.name(),
                customer.priority(),
                timeoutMillis,
                0,
                new GenerationRequest(request.model(), request.prompt(), promptTokens, maximumTokens),
                null);
    }
}
