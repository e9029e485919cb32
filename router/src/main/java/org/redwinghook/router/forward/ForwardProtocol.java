package org.redwinghook.router.forward;

import io.vertx.core.MultiMap;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpServerRequest;

/** Maps the HTTP headers between callers, the router and endpoints to request and response heads. */
public interface ForwardProtocol {

    /**
     * Reads the head of a caller's request.
     *
     * @param request the request
     * @return its values; unreadable values count as absent
     */
    RequestHead readRequestHead(HttpServerRequest request);

    /**
     * Creates the headers of a request to an endpoint.
     *
     * @param caller headers of the caller's request
     * @param head values that the router adds
     * @return the headers, without the caller's hop-by-hop headers and without those that only the router may set
     */
    MultiMap endpointHeaders(MultiMap caller, EndpointRequestHead head);

    /**
     * Reads the head of an endpoint's response.
     *
     * @param response the response
     * @return its values
     */
    ResponseHead readResponseHead(HttpClientResponse response);

    /**
     * Creates the headers of the response to the caller.
     *
     * @param response the endpoint's response
     * @return the headers, without hop-by-hop headers
     */
    MultiMap callerHeaders(HttpClientResponse response);
}
