package org.redwinghook.core.once;

import java.nio.charset.StandardCharsets;

import com.google.common.hash.Hashing;
import org.redwinghook.core.message.CallRequest;

/** Hash that distinguishes a repeated request from a different one with the same key. */
public final class RequestHash {

    private RequestHash() {}

    /**
     * Hashes method, path and body.
     *
     * @param call the call
     * @return the hash in hexadecimal digits
     */
    public static String of(CallRequest call) {
        return Hashing.sha256()
                .newHasher()
                .putInt(call.method().length())
                .putString(call.method(), StandardCharsets.UTF_8)
                .putInt(call.path().length())
                .putString(call.path(), StandardCharsets.UTF_8)
                .putBytes(call.body())
                .hash()
                .toString();
    }
}
