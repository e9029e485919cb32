package org.redwinghook.core.document;

import java.util.Optional;
import java.util.Set;

import org.snakeyaml.engine.v2.common.ScalarStyle;
import org.snakeyaml.engine.v2.nodes.MappingNode;
import org.snakeyaml.engine.v2.nodes.Node;
import org.snakeyaml.engine.v2.nodes.NodeTuple;
import org.snakeyaml.engine.v2.nodes.ScalarNode;
import org.snakeyaml.engine.v2.nodes.SequenceNode;
import org.snakeyaml.engine.v2.nodes.Tag;

/** Writes YAML nodes as JSON on one line, so that equal values have the same text regardless of their layout. */
final class NodeJsonWriter {

    private static final Set<Tag> UNQUOTED_TAGS = Set.of(Tag.INT, Tag.FLOAT, Tag.BOOL, Tag.NULL);
    // Limits the expansion of recursive aliases.
    private static final int MAXIMUM_NESTING_DEPTH = 32;
    private static final char FIRST_PRINTABLE = ' ';
    private static final char LAST_PRINTABLE_ASCII = '~';

    private final StringBuilder text = new StringBuilder();
    private final int maximumCharacters;
    private int depth;
    private boolean isTooDeep;

    private NodeJsonWriter(int maximumCharacters) {
        this.maximumCharacters = maximumCharacters;
    }

    /**
     * Writes a node.
     *
     * @param node the node
     * @param maximumCharacters maximum length of the text; also limits the expansion of nested aliases
     * @return the text, empty if it would be longer or is nested too deeply
     */
    static Optional<String> toJson(Node node, int maximumCharacters) {
        NodeJsonWriter writer = new NodeJsonWriter(maximumCharacters);
        writer.write(node);
        return writer.isFull() || writer.isTooDeep ? Optional.empty() : Optional.of(writer.text.toString());
    }

    private boolean isFull() {
        return text.length() > maximumCharacters;
    }

    private void write(Node node) {
        if (isFull() || depth > MAXIMUM_NESTING_DEPTH) {
            isTooDeep |= depth > MAXIMUM_NESTING_DEPTH;
            return;
        }
        depth++;
        writeValue(node);
        depth--;
    }

    private void writeValue(Node node) {
        if (node instanceof MappingNode mapping) {
            writeMapping(mapping);
        } else if (node instanceof SequenceNode sequence) {
            writeSequence(sequence);
        } else if (node instanceof ScalarNode scalar) {
            writeScalar(scalar);
        }
    }

    private void writeMapping(MappingNode mapping) {
        char separator = '{';
        for (NodeTuple tuple : mapping.getValue()) {
            text.append(separator);
            separator = ',';
            write(tuple.getKeyNode());
            text.append(": ");
            write(tuple.getValueNode());
        }
        text.append(separator == '{' ? "{}" : "}");
    }

    private void writeSequence(SequenceNode sequence) {
        char separator = '[';
        for (Node item : sequence.getValue()) {
            text.append(separator);
            separator = ',';
            write(item);
        }
        text.append(separator == '[' ? "[]" : "]");
    }

    private void writeScalar(ScalarNode scalar) {
        if (scalar.getScalarStyle() == ScalarStyle.PLAIN && UNQUOTED_TAGS.contains(scalar.getTag())) {
            text.append(scalar.getValue().isEmpty() ? "null" : scalar.getValue());
            return;
        }
        text.append('"');
        for (char character : scalar.getValue().toCharArray()) {
            writeCharacter(character);
        }
        text.append('"');
    }

    private void writeCharacter(char character) {
        if (character == '"' || character == '\\') {
            text.append('\\').append(character);
        } else if (character < FIRST_PRINTABLE || character > LAST_PRINTABLE_ASCII && !Character.isLetter(character)) {
            text.append(String.format("\\u%04x", (int) character));
        } else {
            text.append(character);
        }
    }
}
