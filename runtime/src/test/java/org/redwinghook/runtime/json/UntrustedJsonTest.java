package org.redwinghook.runtime.json;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.DecodeException;
import org.redwinghook.core.receive.ReceiveLimits;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against bytes of other processes that overflow the stack of an event loop or raise an unexpected error. */
public class UntrustedJsonTest {

    private static Buffer nestedObjects(int depth) {
        return Buffer.buffer("{\"a\":".repeat(depth) + "1" + "}".repeat(depth));
    }

    @Test
    public void objectsAndArraysKeepTheirValues() {
        String object = "{\"a\":[1,{\"b\":\"c\"}],\"d\":null,\"e\":1.5}";
        Assert.assertEquals(UntrustedJson.parseObject(Buffer.buffer(object)).encode(), object);
        Assert.assertEquals(UntrustedJson.parseArray(Buffer.buffer("[1,true]")).encode(), "[1,true]");
        UntrustedJson.parseObject(nestedObjects(ReceiveLimits.MAXIMUM_NESTING_DEPTH));
    }

    @DataProvider
    Object[][] unreadable() {
        return new Object[][] {
            {nestedObjects(ReceiveLimits.MAXIMUM_NESTING_DEPTH + 1)},
            {nestedObjects(900)},
            {nestedObjects(100_000)},
            {Buffer.buffer("[1]")},
            {Buffer.buffer("null")},
            {Buffer.buffer("")},
            {Buffer.buffer("{\"a\":1} x")},
            {Buffer.buffer("{\"a\":" + "9".repeat(5_000) + "}")},
            {Buffer.buffer(new byte[] {(byte) 0xff, 0, 1})}
        };
    }

    @Test(dataProvider = "unreadable")
    public void otherBytesAreInvalid(Buffer bytes) {
        Assert.assertThrows(DecodeException.class, () -> UntrustedJson.parseObject(bytes));
    }
}
