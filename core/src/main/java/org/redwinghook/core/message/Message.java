package org.redwinghook.core.message;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

/**
 * A message between two processes, encoded as an array of the message name and an array of the fields in declaration
 * order. Message names are part of the protocol and must not change. New fields are appended at the end, where older
 * processes ignore them. Without field names a heartbeat takes a third of the bytes, and heartbeats are most of the
 * control traffic.
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, include = JsonTypeInfo.As.WRAPPER_ARRAY)
@JsonSubTypes({
    @JsonSubTypes.Type(value = Hello.class, name = "hello"),
    @JsonSubTypes.Type(value = Heartbeat.class, name = "heartbeat"),
    @JsonSubTypes.Type(value = Submit.class, name = "submit"),
    @JsonSubTypes.Type(value = Resume.class, name = "resume"),
    @JsonSubTypes.Type(value = Credit.class, name = "credit"),
    @JsonSubTypes.Type(value = Cancel.class, name = "cancel"),
    @JsonSubTypes.Type(value = LeavingAcknowledgement.class, name = "leavingAck"),
    @JsonSubTypes.Type(value = Accepted.class, name = "accepted"),
    @JsonSubTypes.Type(value = Refused.class, name = "refused"),
    @JsonSubTypes.Type(value = Tokens.class, name = "tokens"),
    @JsonSubTypes.Type(value = Finished.class, name = "finished"),
    @JsonSubTypes.Type(value = Interrupted.class, name = "interrupted"),
    @JsonSubTypes.Type(value = CallAnswer.class, name = "callAnswer"),
    @JsonSubTypes.Type(value = OutcomeUnknown.class, name = "outcomeUnknown"),
    @JsonSubTypes.Type(value = ConfigurationAnnouncement.class, name = "configAnnounce"),
    @JsonSubTypes.Type(value = ConfigurationPull.class, name = "configPull"),
    @JsonSubTypes.Type(value = ConfigurationRecords.class, name = "configRecords"),
    @JsonSubTypes.Type(value = WithdrawalNotice.class, name = "withdrawal"),
    @JsonSubTypes.Type(value = KeyQuestion.class, name = "keyQuestion"),
    @JsonSubTypes.Type(value = KeyAnswer.class, name = "keyAnswer"),
    @JsonSubTypes.Type(value = QuotaRequest.class, name = "quotaRequest"),
    @JsonSubTypes.Type(value = QuotaGrant.class, name = "quotaGrant"),
    @JsonSubTypes.Type(value = QuotaUse.class, name = "quotaUse"),
    @JsonSubTypes.Type(value = WorkReport.class, name = "workReport"),
    @JsonSubTypes.Type(value = RelayedRecords.class, name = "relayedRecords"),
    @JsonSubTypes.Type(value = QuarantineReport.class, name = "quarantineReport"),
    @JsonSubTypes.Type(value = RolloutReport.class, name = "rolloutReport"),
    @JsonSubTypes.Type(value = SpeedReport.class, name = "speedReport"),
    @JsonSubTypes.Type(value = LeaveReport.class, name = "leaveReport"),
    @JsonSubTypes.Type(value = CopyReport.class, name = "copyReport"),
    @JsonSubTypes.Type(value = OriginReport.class, name = "originReport"),
    @JsonSubTypes.Type(value = OriginQuestion.class, name = "originQuestion"),
    @JsonSubTypes.Type(value = OriginAnswer.class, name = "originAnswer")
})
@JsonIgnoreProperties(ignoreUnknown = true)
public interface Message {}
