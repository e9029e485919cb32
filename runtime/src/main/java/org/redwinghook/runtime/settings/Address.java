package org.redwinghook.runtime.settings;

import java.util.Optional;
import java.util.regex.Pattern;

import org.redwinghook.core.document.YamlMap;

/**
 * An address to listen on or to connect to.
 *
 * @param host IP address
 * @param port TCP port; 0 lets the operating system choose a port to listen on
 */
public record Address(String host, int port) {

    private static final int MAXIMUM_PORT = 65_535;
    private static final Pattern HOST = Pattern.compile("[!-~]+");
    private static final Pattern PORT = Pattern.compile("\\d{1,5}");

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
        Optional<Address> address = parse(map.text(key));
        if (address.isEmpty()) {
            map.reportAt(key, "must be HOST:PORT");
            return new Address("127.0.0.1", 0);
        }
        return address.get();
    }

    /**
     * Parses a text of the form HOST:PORT.
     *
     * @param text the text
     * @return the address, empty if the text has another form or the port is out of range
     */
    public static Optional<Address> parse(String text) {
        int colon = text.lastIndexOf(':');
        String port = text.substring(colon + 1);
        if (colon <= 0 || !PORT.matcher(port).matches()) {
            return Optional.empty();
        }
        Address address = new Address(text.substring(0, colon), Integer.parseInt(port));
        return HOST.matcher(address.host).matches() && address.port <= MAXIMUM_PORT
                ? Optional.of(address)
                : Optional.empty();
    }

    /**
     * Whether a connection to the address can be opened.
     *
     * @return false if the port is 0, which only means an address to listen on
     */
    public boolean isConnectable() {
        return port > 0;
    }

    @Override
    public String toString() {
        return host + ":" + port;
    }
}
