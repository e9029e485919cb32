package org.redwinghook.runtime.process;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.testng.Assert;
import org.testng.annotations.Test;

/** Guards against processes that end on SIGHUP, which operators send after a change of the settings file. */
public class HangupSignalTest {

    @Test
    public void signalReachesTheHandlerAndTheProcessContinues() throws Exception {
        CountDownLatch received = new CountDownLatch(1);
        HangupSignal.registerHandler(received::countDown);
        String self = Long.toString(ProcessHandle.current().pid());
        Assert.assertEquals(new ProcessBuilder("kill", "-HUP", self).start().waitFor(), 0);
        Assert.assertTrue(received.await(5, TimeUnit.SECONDS));
    }
}
