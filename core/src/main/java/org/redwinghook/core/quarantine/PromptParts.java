package org.redwinghook.core.quarantine;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** Names under which the quarantine knows the parts of prompts, whatever the length and number of their identifiers. */
public final class PromptParts {

    /** Maximum length of a name. Longer identifiers are named by their digests. */
    public static final int MAXIMUM_NAME_LENGTH = 96;

    /** Maximum number of parts of a request that are judged one by one. */
    public static final int MAXIMUM_PARTS = 1_024;

    /**
     * Stands for the parts of a request beyond {@link #MAXIMUM_PARTS}, which are judged together. It is no hexadecimal
     * identifier.
     */
    static final String REMAINDER = "remainder";

    private static final int DIGEST_BYTES = 16;

    private PromptParts() {}

    /**
     * Names the parts that other requests may share: all but the last one, which belongs to the request or its session.
     *
     * @param identifiers identifiers of all parts of a prompt, in order
     * @return the names, in order and each once
     */
    public static List<String> shared(List<String> identifiers) {
        Set<String> names = new LinkedHashSet<>();
        for (int index = 0; index < identifiers.size() - 1; index++) {
            names.add(name(identifiers.get(index)));
        }
        return List.copyOf(names);
    }

    /**
     * Parts of a prompt that a crash is attributed to.
     *
     * @param shared names of its shared parts
     * @return the names, with {@link #REMAINDER} in the place of those beyond {@link #MAXIMUM_PARTS}
     */
    static List<String> suspects(List<String> shared) {
        if (shared.size() <= MAXIMUM_PARTS) {
            return shared;
        }
        List<String> limited = new ArrayList<>(shared.subList(0, MAXIMUM_PARTS));
        limited.add(REMAINDER);
        return limited;
    }

    /**
     * Whether a prompt has a part.
     *
     * @param shared names of its shared parts
     * @param part name of the part
     * @return true if the part, or the remainder, is among them
     */
    public static boolean contain(List<String> shared, String part) {
        return shared.contains(part) || (part.equals(REMAINDER) && shared.size() > MAXIMUM_PARTS);
    }

    /**
     * Names an identifier.
     *
     * @param identifier identifier of a part, a request or an endpoint
     * @return the identifier, or its digest if it is too long or empty
     */
    static String name(String identifier) {
        if (!identifier.isEmpty() && identifier.length() <= MAXIMUM_NAME_LENGTH) {
            return identifier;
        }
        byte[] digest = sha256().digest(identifier.getBytes(StandardCharsets.UTF_8));
        return "sha256-" + HexFormat.of().formatHex(digest, 0, DIGEST_BYTES);
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException missing) {
            throw new IllegalStateException("each Java platform has SHA-256", missing);
        }
    }
}
