package org.redwinghook.runtime.http;

/** Distinguishes the statuses of responses from others that a faulty server may send. */
public final class ResponseStatus {

    private static final int FIRST_FINAL = 200;
    private static final int LAST_FINAL = 599;

    private ResponseStatus() {}

    /**
     * Whether a response with a status ends an exchange. Interim responses (1xx) do not, and other numbers have no meaning in
     * HTTP.
     *
     * @param status the status
     * @return true from 200 to 599
     */
    public static boolean isFinal(int status) {
        return status >= FIRST_FINAL && status <= LAST_FINAL;
    }
}
