package org.redwinghook.core.quarantine;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * An endpoint that closed the connections of requests whose answers had not begun.
 *
 * @param endpoint the endpoint and the start of it
 * @param atMillis time of the first closed connection
 * @param suspects the requests
 * @param refuted whether the endpoint was found to be running afterwards
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record EndpointCrash(String endpoint, long atMillis, List<SuspectRequest> suspects, boolean refuted) {

    public EndpointCrash {
        suspects = List.copyOf(suspects);
    }

    /** Reports of the same crash with one suspect request each. */
    List<EndpointCrash> perSuspect() {
        if (suspects.size() < 2) {
            return List.of(this);
        }
        return suspects.stream()
                .map(suspect -> new EndpointCrash(endpoint, atMillis, List.of(suspect), refuted))
                .toList();
    }

    /** Number of parts of all suspect requests. */
    int partCount() {
        return suspects.stream().mapToInt(suspect -> suspect.parts().size()).sum();
    }

    /** Whether a request is a suspect of both crashes. */
    boolean sharesSuspectWith(EndpointCrash other) {
        Set<String> requests = new HashSet<>();
        other.suspects.forEach(suspect -> requests.add(suspect.requestId()));
        return suspects.stream().anyMatch(suspect -> requests.contains(suspect.requestId()));
    }

    EndpointCrash shiftedBy(long millis) {
        return new EndpointCrash(
                endpoint,
                atMillis + millis,
                suspects.stream().map(suspect -> suspect.shiftedBy(millis)).toList(),
                refuted);
    }
}
