package org.redwinghook.experiments.policy;

import java.util.List;

import org.redwinghook.core.admission.AdmissionController;
import org.redwinghook.core.admission.AdmissionDecision;
import org.redwinghook.core.admission.WorkItem;
import org.redwinghook.core.message.EndpointLoad;

/** Admission by the sidecar's {@link AdmissionController}. */
final class ControlledAdmission implements EndpointAdmission {

    private final AdmissionController controller;

    ControlledAdmission(AdmissionController controller) {
        this.controller = controller;
    }

    @Override
    public AdmissionDecision offer(WorkItem item) {
        return controller.offer(item);
    }

    @Override
    public List<WorkItem> admitWaiting(long nowMillis) {
        return controller.admitWaiting(nowMillis);
    }

    @Override
    public List<WorkItem> removeExpired(long nowMillis) {
        return controller.removeExpired(nowMillis);
    }

    @Override
    public boolean cancelWaiting(long identifier) {
        return controller.cancelWaiting(identifier);
    }

    @Override
    public void recordToken(long identifier, long nowMillis) {
        controller.recordTokens(identifier, 1, nowMillis);
    }

    @Override
    public void recordEnd(long identifier, boolean isComplete, long nowMillis) {
        controller.recordEnd(identifier, isComplete, nowMillis);
    }

    @Override
    public void recordRestart(long nowMillis) {
        controller.recordRestart(nowMillis);
    }

    @Override
    public EndpointLoad load(boolean accepting, long nowMillis) {
        return controller.load(accepting, nowMillis);
    }
}
