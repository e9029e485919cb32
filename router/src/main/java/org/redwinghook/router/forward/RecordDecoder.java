package org.redwinghook.router.forward;

import java.util.Optional;

import org.redwinghook.core.forward.EndpointEntry;
import org.redwinghook.core.replica.VersionedRecord;

/** Decodes the platform's records into the project's types. */
public interface RecordDecoder {

    /**
     * Decodes what an operator wrote.
     *
     * @param record the record
     * @return its content, empty if it cannot be read or concerns nothing that the router knows
     */
    Optional<OperatorRecord> operator(VersionedRecord record);

    /**
     * Decodes an endpoint's entry.
     *
     * @param record the record
     * @return the entry, empty if it was removed or names no endpoint that can be used
     */
    Optional<EndpointEntry> endpoint(VersionedRecord record);
}
