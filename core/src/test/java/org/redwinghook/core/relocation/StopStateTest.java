package org.redwinghook.core.relocation;

import org.testng.Assert;
import org.testng.annotations.Test;

/** Guards against the stream of a stopped run that is taken for complete because the call that stopped it failed. */
public class StopStateTest {

    @Test
    public void callWithoutAnswerMayHaveBeenExecuted() {
        StopState state = StopState.RUNNING.afterRequest().afterUnknownResult();
        Assert.assertTrue(state.mayBeStopped());
        Assert.assertFalse(state.isRequestPending());
    }

    @Test
    public void rejectedCallLeavesTheRunAsItWas() {
        Assert.assertFalse(StopState.RUNNING.afterRequest().afterRejection().mayBeStopped());
    }

    @Test
    public void rejectionOfALaterCallSaysNothingAboutAnUnansweredOne() {
        StopState state = StopState.UNCONFIRMED.afterRequest();
        Assert.assertTrue(state.isRequestPending());
        Assert.assertTrue(state.afterRejection().mayBeStopped());
    }
}
