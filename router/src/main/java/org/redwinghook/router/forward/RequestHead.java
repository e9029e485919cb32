package org.redwinghook.router.forward;

import java.util.List;

import org.jspecify.annotations.Nullable;

/**
 * What the head of a caller's request says.
 *
 * @param requestId identifier of this attempt of the caller, null if absent
 * @param timeoutMillis time that the caller waits, 0 if it did not say
 * @param key the caller's key, null if absent
 * @param promptTokens tokens of the prompt, 0 for calls
 * @param maximumOutputTokens most tokens of output, 0 for calls
 * @param expectedOutputTokens output that the caller expects, 0 if it did not say
 * @param promptParts parts of the prompt, in order
 */
public record RequestHead(
        @Nullable String requestId,
        long timeoutMillis,
        @Nullable String key,
        long promptTokens,
        long maximumOutputTokens,
        long expectedOutputTokens,
        List<PromptPart> promptParts) {

    /**
     * A part of a prompt that other prompts may share.
     *
     * @param id identifier of the part
     * @param tokens its length
     */
    public record PromptPart(String id, long tokens) {}
}
