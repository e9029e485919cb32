package org.redwinghook.core.config;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

/**
 * A record of the log stream {@code configuration}. The values of the type property are part of the stored format and
 * must not change.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes({
    @JsonSubTypes.Type(value = SectionChange.class, name = "change"),
    @JsonSubTypes.Type(value = SectionSnapshot.class, name = "carry")
})
@JsonIgnoreProperties(ignoreUnknown = true)
public sealed interface ConfigurationRecord permits SectionChange, SectionSnapshot {

    /**
     * Name of the section.
     *
     * @return the name
     */
    String section();
}
