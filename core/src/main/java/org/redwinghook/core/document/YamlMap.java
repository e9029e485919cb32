package org.redwinghook.core.document;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.jspecify.annotations.Nullable;
import org.snakeyaml.engine.v2.api.LoadSettings;
import org.snakeyaml.engine.v2.api.lowlevel.Compose;
import org.snakeyaml.engine.v2.api.lowlevel.Parse;
import org.snakeyaml.engine.v2.common.ScalarStyle;
import org.snakeyaml.engine.v2.events.CollectionEndEvent;
import org.snakeyaml.engine.v2.events.CollectionStartEvent;
import org.snakeyaml.engine.v2.events.Event;
import org.snakeyaml.engine.v2.exceptions.Mark;
import org.snakeyaml.engine.v2.exceptions.MarkedYamlEngineException;
import org.snakeyaml.engine.v2.exceptions.YamlEngineException;
import org.snakeyaml.engine.v2.nodes.MappingNode;
import org.snakeyaml.engine.v2.nodes.Node;
import org.snakeyaml.engine.v2.nodes.NodeTuple;
import org.snakeyaml.engine.v2.nodes.ScalarNode;
import org.snakeyaml.engine.v2.nodes.SequenceNode;
import org.snakeyaml.engine.v2.nodes.Tag;

/**
 * A YAML mapping whose values are read by key and type. Invalid, missing and unknown values become findings with their
 * position, and reading continues with a default value, so that one pass reports all problems.
 */
public final class YamlMap {

    // The composer is recursive. With a fixed limit all processes reject the same texts, regardless of their stack
    // size.
    private static final int MAXIMUM_NESTING_DEPTH = 32;

    private final String file;
    private final String path;
    private final @Nullable Mark start;
    private final Map<String, NodeTuple> entries;
    private final Set<String> keysRead = new LinkedHashSet<>();
    private final Map<String, YamlMap> children = new LinkedHashMap<>();
    private final Findings findings;

    private YamlMap(String file, String path, @Nullable Node node, Findings findings) {
        this.file = file;
        this.path = path;
        this.start = node == null ? null : node.getStartMark().orElse(null);
        this.findings = findings;
        this.entries = entriesOf(node);
    }

    /**
     * Parses a document whose root is a mapping.
     *
     * @param file file name used in findings
     * @param text the document
     * @param findings collects the problems
     * @return the root mapping, empty if the document cannot be parsed
     */
    public static YamlMap parse(String file, String text, Findings findings) {
        return new YamlMap(file, "", compose(file, "", text, findings).orElse(null), findings);
    }

    /**
     * Builds a mapping whose values are separate YAML texts. A value that is not exactly one YAML document is reported
     * and counts as absent.
     *
     * @param file file name used in findings
     * @param values texts of the values by key
     * @param findings collects the problems
     * @return the mapping
     */
    public static YamlMap ofTexts(String file, Map<String, String> values, Findings findings) {
        YamlMap map = new YamlMap(file, "", null, findings);
        for (Map.Entry<String, String> entry : values.entrySet()) {
            String key = entry.getKey();
            int before = findings.toList().size();
            Optional<Node> value = compose(file, key, entry.getValue(), findings);
            if (value.isPresent()) {
                Optional<Mark> mark = value.get().getStartMark();
                ScalarNode keyNode = new ScalarNode(Tag.STR, true, key, ScalarStyle.PLAIN, mark, mark);
                map.entries.put(key, new NodeTuple(keyNode, value.get()));
            } else if (findings.toList().size() == before) {
                findings.add(new Finding(file, 0, 0, key, "must not be empty"));
            }
        }
        return map;
    }

    /**
     * The value of a key as JSON on one line, for use with {@link #ofTexts}. A value that is too long is reported.
     *
     * @param key the key
     * @param maximumCharacters maximum length of the text
     * @return the text, empty if the key is absent or after a finding
     */
    public String toJson(String key, int maximumCharacters) {
        Node node = readNode(key);
        if (node == null) {
            return "";
        }
        Optional<String> text = NodeJsonWriter.toJson(node, maximumCharacters);
        if (text.isEmpty()) {
            reportAt(key, "must be at most " + maximumCharacters + " characters of JSON without recursion");
        }
        return text.orElse("");
    }

    /**
     * The keys in document order.
     *
     * @return the keys
     */
    public Set<String> keys() {
        return Collections.unmodifiableSet(entries.keySet());
    }

    /**
     * Whether a key is present.
     *
     * @param key the key
     * @return true if it is
     */
    public boolean has(String key) {
        return entries.containsKey(key);
    }

    /**
     * A text that must be present.
     *
     * @param key the key
     * @return the text, empty after a finding
     */
    public String text(String key) {
        String value = optionalText(key);
        if (value == null && !entries.containsKey(key)) {
            report(start, pathOf(key), "is missing");
        }
        return value == null ? "" : value;
    }

    /**
     * A text that may be absent.
     *
     * @param key the key
     * @return the text or null
     */
    public @Nullable String optionalText(String key) {
        Node node = readNode(key);
        if (node == null) {
            return null;
        }
        if (!(node instanceof ScalarNode scalar) || Tag.NULL.equals(scalar.getTag())) {
            reportAt(key, "must be a text");
            return null;
        }
        if (scalar.getValue().isBlank()) {
            reportAt(key, "must not be empty");
            return null;
        }
        return scalar.getValue();
    }

    /**
     * A text that may be absent.
     *
     * @param key the key
     * @param defaultValue value if absent or after a finding
     * @return the text
     */
    public String text(String key, String defaultValue) {
        String value = optionalText(key);
        return value == null ? defaultValue : value;
    }

    /**
     * A whole number that must be present.
     *
     * @param key the key
     * @param minimum minimum value
     * @param maximum maximum value
     * @return the number, the minimum after a finding
     */
    public long number(String key, long minimum, long maximum) {
        if (!entries.containsKey(key)) {
            report(start, pathOf(key), "is missing");
            return minimum;
        }
        return number(key, minimum, maximum, minimum);
    }

    /**
     * A whole number that may be absent.
     *
     * @param key the key
     * @param minimum minimum value
     * @param maximum maximum value
     * @param defaultValue value if absent or after a finding
     * @return the number
     */
    public long number(String key, long minimum, long maximum, long defaultValue) {
        Node node = readNode(key);
        if (node == null) {
            return defaultValue;
        }
        if (!(node instanceof ScalarNode scalar)) {
            reportAt(key, "must be a whole number");
            return defaultValue;
        }
        try {
            long value = Long.parseLong(scalar.getValue().replace("_", ""));
            if (value >= minimum && value <= maximum) {
                return value;
            }
            reportAt(key, "must be from " + minimum + " to " + maximum + ", not " + value);
        } catch (NumberFormatException exception) {
            reportAt(key, "must be a whole number, not '" + scalar.getValue() + "'");
        }
        return defaultValue;
    }

    /**
     * A decimal number that may be absent.
     *
     * @param key the key
     * @param minimum minimum value
     * @param maximum maximum value
     * @param defaultValue value if absent or after a finding
     * @return the number
     */
    public double decimal(String key, double minimum, double maximum, double defaultValue) {
        Node node = readNode(key);
        if (node == null) {
            return defaultValue;
        }
        if (!(node instanceof ScalarNode scalar)) {
            reportAt(key, "must be a number");
            return defaultValue;
        }
        try {
            double value = Double.parseDouble(scalar.getValue());
            if (value >= minimum && value <= maximum) {
                return value;
            }
            reportAt(key, "must be from " + minimum + " to " + maximum + ", not " + scalar.getValue());
        } catch (NumberFormatException exception) {
            reportAt(key, "must be a number, not '" + scalar.getValue() + "'");
        }
        return defaultValue;
    }

    /**
     * A decimal number that may be absent or null, as in a document filled in from a template.
     *
     * @param key the key
     * @param minimum minimum value
     * @param maximum maximum value
     * @param defaultValue value if absent, null or after a finding
     * @return the number
     */
    public double nullableDecimal(String key, double minimum, double maximum, double defaultValue) {
        if (readNode(key) instanceof ScalarNode scalar && Tag.NULL.equals(scalar.getTag())) {
            return defaultValue;
        }
        return decimal(key, minimum, maximum, defaultValue);
    }

    /**
     * A boolean value that may be absent.
     *
     * @param key the key
     * @param defaultValue value if absent or after a finding
     * @return the value
     */
    public boolean flag(String key, boolean defaultValue) {
        Node node = readNode(key);
        if (node == null) {
            return defaultValue;
        }
        String value = node instanceof ScalarNode scalar ? scalar.getValue() : "";
        if ("true".equals(value) || "false".equals(value)) {
            return Boolean.parseBoolean(value);
        }
        reportAt(key, "must be true or false");
        return defaultValue;
    }

    /**
     * A constant of an enum, written in lower case with hyphens.
     *
     * @param key the key
     * @param type the enum
     * @param defaultValue value if absent or after a finding
     * @param <E> the enum
     * @return the constant
     */
    public <E extends Enum<E>> E choice(String key, Class<E> type, E defaultValue) {
        String value = optionalText(key);
        if (value == null) {
            return defaultValue;
        }
        List<String> names = new ArrayList<>();
        for (E constant : type.getEnumConstants()) {
            String name = constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
            if (name.equals(value)) {
                return constant;
            }
            names.add(name);
        }
        reportAt(key, "must be one of " + String.join(", ", names) + ", not '" + value + "'");
        return defaultValue;
    }

    /**
     * A mapping that may be absent.
     *
     * @param key the key
     * @return the mapping, empty if absent or after a finding
     */
    public YamlMap map(String key) {
        YamlMap cached = children.get(key);
        if (cached != null) {
            return cached;
        }
        Node node = readNode(key);
        if (node != null && !(node instanceof MappingNode)) {
            reportAt(key, "must be a mapping");
            node = null;
        }
        YamlMap child = new YamlMap(file, pathOf(key), node, findings);
        children.put(key, child);
        return child;
    }

    /**
     * A mapping that must be present.
     *
     * @param key the key
     * @return the mapping, empty after a finding
     */
    public YamlMap requiredMap(String key) {
        if (!entries.containsKey(key)) {
            report(start, pathOf(key), "is missing");
        }
        return map(key);
    }

    /**
     * A list of texts that may be absent.
     *
     * @param key the key
     * @return the texts, empty if absent
     */
    public List<String> texts(String key) {
        List<String> values = new ArrayList<>();
        for (Node item : items(key)) {
            if (item instanceof ScalarNode scalar) {
                values.add(scalar.getValue());
                continue;
            }
            report(item.getStartMark().orElse(start), pathOf(key), "must be a list of texts");
        }
        return List.copyOf(values);
    }

    /**
     * A list of mappings that may be absent.
     *
     * @param key the key
     * @return the mappings, empty if absent
     */
    public List<YamlMap> maps(String key) {
        List<YamlMap> values = new ArrayList<>();
        int index = 0;
        for (Node item : items(key)) {
            String itemPath = pathOf(key) + "[" + index + "]";
            index++;
            if (item instanceof MappingNode) {
                values.add(new YamlMap(file, itemPath, item, findings));
                continue;
            }
            report(item.getStartMark().orElse(start), itemPath, "must be a mapping");
        }
        return List.copyOf(values);
    }

    /** Reports each key that was not read. Must be called after all known keys have been read. */
    public void rejectUnknownKeys() {
        for (Map.Entry<String, NodeTuple> entry : entries.entrySet()) {
            if (!keysRead.contains(entry.getKey())) {
                report(markOf(entry.getKey()), pathOf(entry.getKey()), "is not a known key");
            }
        }
    }

    /**
     * Reports a problem with the value of a key.
     *
     * @param key the key
     * @param problem what is wrong
     */
    public void reportAt(String key, String problem) {
        report(markOf(key), pathOf(key), problem);
    }

    private static Optional<Node> compose(String file, String key, String text, Findings findings) {
        LoadSettings settings = LoadSettings.builder()
                .setLabel(file)
                .setAllowDuplicateKeys(true)
                .build();
        try {
            int depth = 0;
            for (Event event : new Parse(settings).parseString(text)) {
                depth += event instanceof CollectionStartEvent ? 1 : event instanceof CollectionEndEvent ? -1 : 0;
                if (depth > MAXIMUM_NESTING_DEPTH) {
                    addFinding(
                            file, event.getStartMark(), key, "nested deeper than " + MAXIMUM_NESTING_DEPTH, findings);
                    return Optional.empty();
                }
            }
            return new Compose(settings).composeString(text);
        } catch (MarkedYamlEngineException exception) {
            addFinding(file, exception.getProblemMark(), key, "not valid YAML: " + exception.getProblem(), findings);
        } catch (YamlEngineException exception) {
            addFinding(file, Optional.empty(), key, "not valid YAML: " + exception.getMessage(), findings);
        }
        return Optional.empty();
    }

    private static void addFinding(String file, Optional<Mark> mark, String key, String problem, Findings findings) {
        int line = mark.map(position -> position.getLine() + 1).orElse(0);
        int column = mark.map(position -> position.getColumn() + 1).orElse(0);
        findings.add(new Finding(file, line, column, key, problem));
    }

    private List<Node> items(String key) {
        Node node = readNode(key);
        if (node == null) {
            return List.of();
        }
        if (node instanceof SequenceNode sequence) {
            return sequence.getValue();
        }
        reportAt(key, "must be a list");
        return List.of();
    }

    private Map<String, NodeTuple> entriesOf(@Nullable Node node) {
        Map<String, NodeTuple> result = new LinkedHashMap<>();
        if (node == null) {
            return result;
        }
        if (!(node instanceof MappingNode mapping)) {
            report(start, path, "must be a mapping");
            return result;
        }
        for (NodeTuple tuple : mapping.getValue()) {
            String key = tuple.getKeyNode() instanceof ScalarNode scalar ? scalar.getValue() : "";
            if (result.putIfAbsent(key, tuple) != null) {
                report(tuple.getKeyNode().getStartMark().orElse(start), pathOf(key), "appears twice");
            }
        }
        return result;
    }

    private @Nullable Node readNode(String key) {
        keysRead.add(key);
        NodeTuple tuple = entries.get(key);
        return tuple == null ? null : tuple.getValueNode();
    }

    private @Nullable Mark markOf(String key) {
        NodeTuple tuple = entries.get(key);
        if (tuple == null) {
            return start;
        }
        return tuple.getKeyNode().getStartMark().orElse(start);
    }

    private String pathOf(String key) {
        return path.isEmpty() ? key : path + "." + key;
    }

    private void report(@Nullable Mark mark, String key, String problem) {
        int line = mark == null ? 0 : mark.getLine() + 1;
        int column = mark == null ? 0 : mark.getColumn() + 1;
        findings.add(new Finding(file, line, column, key, problem));
    }
}
