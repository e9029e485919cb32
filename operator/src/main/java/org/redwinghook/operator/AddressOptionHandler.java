package org.redwinghook.operator;

import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.OptionDef;
import org.kohsuke.args4j.spi.OneArgumentOptionHandler;
import org.kohsuke.args4j.spi.Setter;
import org.redwinghook.runtime.settings.Address;

/** Reads an address of the form HOST:PORT. */
public final class AddressOptionHandler extends OneArgumentOptionHandler<Address> {

    private static final int MAXIMUM_PORT = 65_535;

    /**
     * Creates the handler.
     *
     * @param parser the parser
     * @param option the option
     * @param setter receives the address
     */
    public AddressOptionHandler(CmdLineParser parser, OptionDef option, Setter<? super Address> setter) {
        super(parser, option, setter);
    }

    // The parser reports a NumberFormatException as an invalid value of the option.
    @Override
    protected Address parse(String argument) {
        int colonIndex = argument.lastIndexOf(':');
        if (colonIndex < 1) {
            throw new NumberFormatException("no port in " + argument);
        }
        int port = Integer.parseInt(argument.substring(colonIndex + 1));
        if (port < 1 || port > MAXIMUM_PORT) {
            throw new NumberFormatException("no such port: " + port);
        }
        return new Address(argument.substring(0, colonIndex), port);
    }

    @Override
    public String getDefaultMetaVariable() {
        return "HOST:PORT";
    }
}
