package org.redwinghook.router.forward;

import java.util.List;
import java.util.function.Supplier;

import org.jspecify.annotations.Nullable;
import org.redwinghook.core.placement.PlacementQuery;
import org.redwinghook.core.quarantine.PromptParts;

/**
 * Values from the head of a caller's request.
 *
 * @param requestId identifier of the caller's attempt, null if absent
 * @param timeoutMillis time for which the caller waits, in milliseconds, 0 if absent
 * @param key the caller's API key, null if absent
 * @param promptTokens number of prompt tokens, 0 for calls
 * @param maximumOutputTokens maximum number of output tokens, 0 for calls
 * @param expectedOutputTokens number of output tokens that the caller expects, 0 if absent
 * @param promptParts reads the identifiers of the parts of the prompt, in order, from the received head; a prompt may have
 *     thousands of parts, whose objects take many times the memory of their bytes
 * @param resumesStream whether the caller resumes a stream that an earlier attempt of its began
 * @param firstAttempt identifier of the caller's attempt that brought the first event of that stream, null if absent or too
 *     long
 */
public record RequestHead(
        @Nullable String requestId,
        long timeoutMillis,
        @Nullable String key,
        long promptTokens,
        long maximumOutputTokens,
        long expectedOutputTokens,
        Supplier<List<String>> promptParts,
        boolean resumesStream,
        @Nullable String firstAttempt) {

    /**
     * Size of the generation.
     *
     * @return the prompt and the expected output, which is the maximum if the caller expects none
     */
    PlacementQuery expectedSize() {
        if (expectedOutputTokens <= 0) {
            return new PlacementQuery(promptTokens, maximumOutputTokens);
        }
        // Callers' estimates are often far off; an output never exceeds the maximum.
        long limitTokens = maximumOutputTokens > 0 ? maximumOutputTokens : expectedOutputTokens;
        return new PlacementQuery(promptTokens, Math.min(expectedOutputTokens, limitTokens));
    }

    /**
     * Parts that other requests may share.
     *
     * @return the names of all of them
     */
    List<String> sharedParts() {
        return PromptParts.shared(promptParts.get());
    }
}
