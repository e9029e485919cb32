package org.redwinghook.core.config;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

/** A record on the stream {@code configuration}. The names in the type property never change. */
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
