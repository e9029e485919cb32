package org.redwinghook.experiments.policy;

import java.util.List;

import org.redwinghook.core.admission.AdmissionDecision;
import org.redwinghook.core.admission.WorkItem;
import org.redwinghook.core.message.EndpointLoad;

/** Admission at one endpoint, with the operations that a sidecar uses. Times are in milliseconds of virtual time. */
interface EndpointAdmission {

    AdmissionDecision offer(WorkItem item);

    List<WorkItem> admitWaiting(long nowMillis);

    List<WorkItem> removeExpired(long nowMillis);

    boolean cancelWaiting(long identifier);

    void recordToken(long identifier, long nowMillis);

    void recordEnd(long identifier, boolean isComplete, long nowMillis);

    void recordRestart(long nowMillis);

    EndpointLoad load(boolean accepting, long nowMillis);
}
