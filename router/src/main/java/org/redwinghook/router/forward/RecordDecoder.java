package org.redwinghook.router.forward;

import java.util.Optional;

import org.jspecify.annotations.Nullable;
import org.redwinghook.core.forward.EndpointEntry;
import org.redwinghook.core.replica.RecordTopic;
import org.redwinghook.core.replica.StatementNumber;
import org.redwinghook.core.replica.VersionedRecord;

/** Decodes the platform's records into the project's types. */
public interface RecordDecoder {

    /**
     * Decodes a record written by an operator.
     *
     * @param record the record
     * @return its content, empty if it is unreadable or of a kind that the router does not use
     */
    Optional<OperatorRecord> decodeOperatorRecord(VersionedRecord record);

    /**
     * Decodes the entry of an endpoint.
     *
     * @param record the record
     * @return the entry, empty if it was removed or is unreadable
     */
    Optional<EndpointEntry> decodeEndpoint(VersionedRecord record);

    /**
     * Reads the number that the writer of a record gave to it.
     *
     * @param topic topic of the record
     * @param record the record
     * @return the number, null if the record has none
     */
    default @Nullable StatementNumber statementNumber(RecordTopic topic, VersionedRecord record) {
        return null;
    }
}
