package org.redwinghook.runtime.settings;

import org.redwinghook.core.document.YamlMap;

/**
 * An address to listen on or to connect to.
 *
 * @param host IP number
 * @param port TCP port; 0 lets the system choose one when listening
 */
public record Address(String host, int port) {

    private static final int LARGEST_PORT = 65_535;

    /**
     * Reads an address from a mapping with the keys host and port.
     *
     * @param map the mapping
     * @return the address
     */
    public static Address read(YamlMap map) {
        Address address = new Address(map.text("host", "127.0.0.1"), (int) map.number("port", 0, LARGEST_PORT));
        map.rejectUnknownKeys();
        return address;
    }

    @Override
    public String toString() {
        return host + ":" + port;
    }
}
