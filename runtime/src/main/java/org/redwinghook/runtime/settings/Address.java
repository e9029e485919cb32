package org.redwinghook.runtime.settings;

import org.redwinghook.core.document.YamlMap;

/**
 * An address to listen on or to connect to.
 *
 * @param host IP address
 * @param port TCP port; 0 lets the operating system choose a port to listen on
 */
public record Address(String host, int port) {

    private static final int MAXIMUM_PORT = 65_535;

    /**
     * Reads an address from a mapping with the keys host and port.
     *
     * @param map the mapping of the settings document
     * @return the address
     */
    public static Address read(YamlMap map) {
        Address address = new Address(map.text("host", "127.0.0.1"), (int) map.number("port", 0, MAXIMUM_PORT));
        map.rejectUnknownKeys();
        return address;
    }

    /**
     * Reads an address from a text of the form HOST:PORT. If the text has another form, a finding is reported and an
     * address with port 0 returned.
     *
     * @param map mapping that contains the text
     * @param key key of the text
     * @return the address
     */
    public static Address readText(YamlMap map, String key) {
        String text = map.text(key);
        int colon = text.lastIndexOf(':');
        String port = text.substring(colon + 1);
        if (colon <= 0 || !port.matches("\\d{1,5}") || Integer.parseInt(port) > MAXIMUM_PORT) {
            map.reportAt(key, "must be HOST:PORT");
            return new Address("127.0.0.1", 0);
        }
        return new Address(text.substring(0, colon), Integer.parseInt(port));
    }

    @Override
    public String toString() {
        return host + ":" + port;
    }
}
