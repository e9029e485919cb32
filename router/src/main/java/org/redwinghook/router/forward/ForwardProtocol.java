package org.redwinghook.router.forward;

import io.vertx.core.MultiMap;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpServerRequest;

/** Names of the headers that callers, the router and endpoints exchange. */
public interface ForwardProtocol {

    /**
     * Reads the head of a caller's request.
     *
     * @param request the request
     * @return what it says; values that cannot be read count as absent
     */
    RequestHead readRequestHead(HttpServerRequest request);

    /**
     * Headers of a request to an endpoint.
     *
     * @param caller headers of the caller's request
     * @param head what the router adds
     * @return the headers, without those of one connection and without those that only the router may set
     */
    MultiMap endpointHeaders(MultiMap caller, EndpointRequestHead head);

    /**
     * Reads the head of an endpoint's answer.
     *
     * @param response the answer
     * @return what it says
     */
    ResponseHead readResponseHead(HttpClientResponse response);

    /**
     * Headers of an endpoint's answer for the caller.
     *
     * @param response the endpoint's answer
     * @return the headers, without those of one connection
     */
    MultiMap callerHeaders(HttpClientResponse response);
}
