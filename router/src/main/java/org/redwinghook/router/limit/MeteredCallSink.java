package org.redwinghook.router.limit;

import org.redwinghook.core.message.CallAnswer;
import org.redwinghook.core.message.RefusalReason;
import org.redwinghook.router.call.CallSink;

/** Counts a call that ran or may have run. */
record MeteredCallSink(CallSink sink, Runnable count) implements CallSink {

    @Override
    public void answered(CallAnswer answer) {
        count.run();
        sink.answered(answer);
    }

    @Override
    public void unknown(String detail) {
        count.run();
        sink.unknown(detail);
    }

    @Override
    public void refused(RefusalReason reason, String detail, long retryAfterMillis) {
        sink.refused(reason, detail, retryAfterMillis);
    }

    @Override
    public void abandoned() {
        count.run();
        sink.abandoned();
    }
}
