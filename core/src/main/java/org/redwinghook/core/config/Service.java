package org.redwinghook.core.config;

import java.util.List;

/**
 * A service that callers can use.
 *
 * @param name name of the service; also the model name for engines
 * @param kind type of its endpoints
 * @param owner owner that runs the endpoints
 * @param maximumOutputTokens maximum output of one generation in tokens; engines only
 * @param checksFencing whether the engines refuse commands with an older fencing number; engines only
 * @param maximumConcurrency maximum number of concurrent requests at one warm endpoint
 * @param engine desired state of the engines; engines only
 * @param operations operations of a plain service; a call that matches none is not idempotent unless it is a GET or
 *     HEAD
 */
public record Service(
        String name,
        ServiceKind kind,
        String owner,
        int maximumOutputTokens,
        boolean checksFencing,
        int maximumConcurrency,
        DesiredEngine engine,
        List<Operation> operations)
        implements SectionEntry {

    public Service {
        operations = List.copyOf(operations);
    }

    /**
     * Whether a call may run more than once without a second side effect.
     *
     * @param method HTTP method of the call
     * @param path path of the call without its query
     * @return the setting of the first matching operation; if none matches, true for GET and HEAD only
     */
    public boolean isIdempotent(String method, String path) {
        for (Operation operation : operations) {
            if (operation.matches(method, path)) {
                return operation.idempotent();
            }
        }
        return "GET".equalsIgnoreCase(method) || "HEAD".equalsIgnoreCase(method);
    }
}
