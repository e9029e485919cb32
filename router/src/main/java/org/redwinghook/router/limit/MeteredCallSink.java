package org.redwinghook.router.limit;

import org.redwinghook.core.message.CallAnswer;
import org.redwinghook.core.message.RefusalReason;
import org.redwinghook.router.call.CallSink;

/** Counts the usage of a call that ran or may have run. */
record MeteredCallSink(CallSink sink, Runnable usageRecorder) implements CallSink {

    @Override
    public void onAnswer(CallAnswer answer) {
        usageRecorder.run();
        sink.onAnswer(answer);
    }

    @Override
    public void onUnknownOutcome(String detail) {
        usageRecorder.run();
        sink.onUnknownOutcome(detail);
    }

    @Override
    public void onRefused(RefusalReason reason, String detail, long retryAfterMillis) {
        sink.onRefused(reason, detail, retryAfterMillis);
    }

    @Override
    public void onCallerGone() {
        usageRecorder.run();
        sink.onCallerGone();
    }
}
