package org.redwinghook.core.routing;

import org.redwinghook.core.message.EndpointLoad;

/**
 * View that one router has of an endpoint.
 *
 * @param vm name of the endpoint's VM
 * @param dataCentre data centre of the VM
 * @param sameRegion whether the endpoint is in the router's region
 * @param outstanding this router's requests that the endpoint has not finished
 * @param load last load that the sidecar reported, which may be outdated
 */
public record EndpointView(String vm, String dataCentre, boolean sameRegion, int outstanding, EndpointLoad load) {}
