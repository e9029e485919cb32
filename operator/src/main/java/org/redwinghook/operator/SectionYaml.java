package org.redwinghook.operator;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;

import org.redwinghook.core.config.Section;
import org.snakeyaml.engine.v2.api.Dump;
import org.snakeyaml.engine.v2.api.DumpSettings;
import org.snakeyaml.engine.v2.api.Load;
import org.snakeyaml.engine.v2.api.LoadSettings;
import org.snakeyaml.engine.v2.common.FlowStyle;

/** Writes sections as YAML that can be edited and published again. */
final class SectionYaml {

    private static final int MAXIMUM_LINE_CHARACTERS = 120;

    private SectionYaml() {}

    static Map<String, Object> toValues(Section section) {
        Map<String, Object> values = new LinkedHashMap<>();
        new TreeMap<>(section.texts())
                .forEach((entry, text) ->
                        values.put(entry, new Load(LoadSettings.builder().build()).loadFromString(text)));
        return values;
    }

    static String toYaml(Section section) {
        DumpSettings settings = DumpSettings.builder()
                .setDefaultFlowStyle(FlowStyle.BLOCK)
                .setWidth(MAXIMUM_LINE_CHARACTERS)
                .build();
        return new Dump(settings).dumpToString(Map.of(section.name(), toValues(section)));
    }
}
