package org.redwinghook.router.caller;

import java.util.Optional;

import io.vavr.control.Either;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.ext.web.RoutingContext;
import org.redwinghook.core.config.Configuration;
import org.redwinghook.core.config.Customer;
import org.redwinghook.core.config.Service;
import org.redwinghook.core.config.ServiceKind;
import org.redwinghook.core.message.GenerationRequest;
import org.redwinghook.core.message.Submit;
import org.redwinghook.core.routing.EndpointSelector;
import org.redwinghook.core.routing.RendezvousHash;
import org.redwinghook.router.endpoint.EndpointDirectory;
import org.redwinghook.router.generation.GenerationDelivery;
import org.redwinghook.router.generation.GenerationSink;
import org.redwinghook.runtime.config.ConfigurationSource;

/** Handles POST /v1/completions. */
public final class CompletionHandler {

    private static final int HTTP_BAD_REQUEST = 400;
    private static final int HTTP_UNAUTHORIZED = 401;
    private static final int HTTP_NOT_FOUND = 404;
    private static final int PREFIX_CHARACTERS = 256;
    private static final int CHARACTERS_PER_TOKEN = 4;

    private final ConfigurationSource configuration;
    private final Authenticator authenticator;
    private final EndpointDirectory directory;
    private final EndpointSelector selector;
    private final long timeoutMillis;

    /**
     * Creates the handler.
     *
     * @param configuration the configuration in force
     * @param authenticator finds customers
     * @param directory endpoints
     * @param selector selects among them
     * @param timeoutMillis time that a caller waits for the first token
     */
    public CompletionHandler(
            ConfigurationSource configuration,
            Authenticator authenticator,
            EndpointDirectory directory,
            EndpointSelector selector,
            long timeoutMillis) {
        this.configuration = configuration;
        this.authenticator = authenticator;
        this.directory = directory;
        this.selector = selector;
        this.timeoutMillis = timeoutMillis;
    }

    /**
     * Handles a request.
     *
     * @param context the request with its body
     */
    public void handle(RoutingContext context) {
        HttpServerResponse response = context.response();
        Optional<Customer> customer = authenticator.customer(context.request().getHeader("Authorization"));
        if (customer.isEmpty()) {
            CallerErrors.reject(response, HTTP_UNAUTHORIZED, "unauthorized", "the credential is not known");
            return;
        }
        Either<String, CompletionRequest> read =
                CompletionRequest.read(context.body().buffer());
        if (read.isLeft()) {
            CallerErrors.reject(response, HTTP_BAD_REQUEST, "invalid_request", read.getLeft());
            return;
        }
        CompletionRequest request = read.get();
        Configuration current = configuration.current();
        Optional<Service> service =
                current.service(request.model()).filter(found -> found.kind() == ServiceKind.ENGINE);
        if (service.isEmpty()) {
            CallerErrors.reject(
                    response, HTTP_NOT_FOUND, "unknown_model", "there is no model '" + request.model() + "'");
            return;
        }
        start(response, request, submit(customer.get(), service.get(), request), current);
    }

    private void start(HttpServerResponse response, CompletionRequest request, Submit submit, Configuration current) {
        StreamedCompletion streamed = new StreamedCompletion(response, request.model());
        WholeCompletion whole = new WholeCompletion(response, request.model());
        GenerationSink sink = request.stream() ? streamed : whole;
        String prefix = request.prompt()
                .substring(0, Math.min(PREFIX_CHARACTERS, request.prompt().length()));
        GenerationDelivery delivery = new GenerationDelivery(
                directory,
                selector,
                submit,
                RendezvousHash.hash(prefix),
                current.rules().attempts(),
                sink);
        streamed.onSocketTook(delivery::socketTook);
        whole.onCollected(delivery::socketTook);
        response.closeHandler(ignored -> delivery.callerGone());
        delivery.start();
    }

    private Submit submit(Customer customer, Service service, CompletionRequest request) {
        int most = service.maximumOutputTokens();
        int wanted = request.maximumTokens() == 0 ? most : Math.min(most, request.maximumTokens());
        int promptTokens = Math.max(1, request.prompt().length() / CHARACTERS_PER_TOKEN);
        return new Submit(
                0,
                service.name(),
                customer.owner(),
                customer.name(),
                customer.priority(),
                timeoutMillis,
                0,
                new GenerationRequest(request.model(), request.prompt(), promptTokens, wanted),
                null);
    }
}
