package org.redwinghook.core.config;

/**
 * An operation of a plain service.
 *
 * @param method HTTP method
 * @param path path at the service; a last segment of * matches any remaining path
 * @param idempotent whether a call may run more than once without a second side effect
 */
public record Operation(String method, String path, boolean idempotent) {

    private static final String WILDCARD = "/*";

    /**
     * Whether a call matches this operation.
     *
     * @param callMethod HTTP method of the call
     * @param callPath path of the call without its query
     * @return true if it does
     */
    public boolean matches(String callMethod, String callPath) {
        if (!method.equalsIgnoreCase(callMethod)) {
            return false;
        }
        if (path.endsWith(WILDCARD)) {
            return callPath.startsWith(path.substring(0, path.length() - 1));
        }
        return path.equals(callPath);
    }
}
