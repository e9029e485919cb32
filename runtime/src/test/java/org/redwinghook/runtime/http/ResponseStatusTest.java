package org.redwinghook.runtime.http;

import org.testng.Assert;
import org.testng.annotations.Test;

/** Guards against a number that is passed on as the status of an answer. */
public class ResponseStatusTest {

    @Test
    public void onlyStatusesFrom200To599AreFinal() {
        for (int status : new int[] {200, 304, 429, 599}) {
            Assert.assertTrue(ResponseStatus.isFinal(status), "status " + status);
        }
        for (int status : new int[] {-1, 0, 99, 100, 199, 600, 999, 2_000}) {
            Assert.assertFalse(ResponseStatus.isFinal(status), "status " + status);
        }
    }
}
