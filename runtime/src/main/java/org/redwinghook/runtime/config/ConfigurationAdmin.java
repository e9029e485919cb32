package org.redwinghook.runtime.config;

import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import org.redwinghook.core.config.Configuration;
import org.redwinghook.core.config.PlaceKind;
import org.redwinghook.core.config.SectionVersion;
import org.redwinghook.core.config.Withdrawal;
import org.redwinghook.runtime.json.UntrustedJson;

/** Serves GET /configuration and POST /withdrawals to the operators' command-line tool. */
public final class ConfigurationAdmin {

    private static final long MAXIMUM_BODY_BYTES = 4_096;
    private static final int ACCEPTED = 202;
    private static final int BAD_REQUEST = 400;
    private static final int CONFLICT = 409;

    private final ConfigurationService configuration;
    private final ObjectMapper mapper = new ObjectMapper();

    /**
     * Creates the request handlers.
     *
     * @param configuration configuration of this process
     */
    public ConfigurationAdmin(ConfigurationService configuration) {
        this.configuration = configuration;
    }

    /**
     * Registers the request handlers.
     *
     * @param routes HTTP routes of the admin port
     */
    public void register(Router routes) {
        routes.get("/configuration").handler(this::handleConfiguration);
        routes.post("/withdrawals")
                .handler(BodyHandler.create(false).setBodyLimit(MAXIMUM_BODY_BYTES))
                .handler(this::handleWithdrawal);
    }

    private void handleConfiguration(RoutingContext context) {
        Configuration current = configuration.current();
        respond(
                context,
                200,
                new Summary(
                        current.offset(), configuration.isReady(), current.sections(), configuration.withdrawals()));
    }

    private void handleWithdrawal(RoutingContext context) {
        Withdrawal withdrawal;
        try {
            JsonObject body = UntrustedJson.parseObject(context.body().buffer());
            withdrawal =
                    new Withdrawal(parseKind(body.getString("kind")), body.getString("name"), body.getLong("basedOn"));
        } catch (RuntimeException exception) {
            respond(context, BAD_REQUEST, new Problem("expected kind (dataCentre or vm), name and basedOn"));
            return;
        }
        SectionVersion version = configuration.current().version(withdrawal.section());
        boolean isInForce = configuration.withdraw(withdrawal)
                || configuration.withdrawals().contains(withdrawal);
        respond(context, isInForce ? ACCEPTED : CONFLICT, version);
    }

    private static PlaceKind parseKind(String key) {
        for (PlaceKind kind : PlaceKind.values()) {
            if (kind.key().equals(key)) {
                return kind;
            }
        }
        throw new IllegalArgumentException("unknown kind " + key);
    }

    private void respond(RoutingContext context, int status, Object body) {
        try {
            context.response()
                    .setStatusCode(status)
                    .putHeader("content-type", "application/json")
                    .end(mapper.writeValueAsString(body));
        } catch (JsonProcessingException exception) {
            context.fail(exception);
        }
    }

    private record Summary(
            long offset, boolean ready, Map<String, SectionVersion> sections, List<Withdrawal> withdrawals) {}

    private record Problem(String problem) {}
}
