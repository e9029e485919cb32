package org.redwinghook.router.forward;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

import org.redwinghook.core.quarantine.QuarantinedPart;

/** Streams that this router is forwarding. */
final class RunningStreams {

    private final Set<StreamForwarding> streams = new LinkedHashSet<>();

    void add(StreamForwarding stream) {
        streams.add(stream);
    }

    /**
     * Removes a stream that has ended.
     *
     * @param stream the stream
     * @return false if it was removed before
     */
    boolean remove(StreamForwarding stream) {
        return streams.remove(stream);
    }

    /**
     * Withdraws the streams that may crash their endpoints.
     *
     * @param part part of prompts that crashes endpoints
     */
    void withdraw(QuarantinedPart part) {
        List.copyOf(streams).forEach(stream -> stream.withdraw(part));
    }

    /**
     * Streams that an endpoint runs.
     *
     * @param endpointId identifier of the endpoint
     * @return the streams, oldest first
     */
    List<StreamForwarding> findByEndpoint(String endpointId) {
        List<StreamForwarding> found = new ArrayList<>();
        for (StreamForwarding stream : streams) {
            if (stream.endpoint().filter(entry -> entry.id().equals(endpointId)).isPresent()) {
                found.add(stream);
            }
        }
        return found;
    }
}
