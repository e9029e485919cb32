package org.redwinghook.core.placement;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * What a router has learned about the speed of an endpoint.
 *
 * @param instance key of the endpoint instance, see {@link EndpointSpeeds#key}
 * @param percent how long work takes there relative to the typical endpoint of its service, 100 is typical
 * @param observations number of recent observations
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record SharedSpeed(int instance, int percent, int observations) {}
