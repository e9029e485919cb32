package org.redwinghook.operator;

import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.OptionDef;
import org.kohsuke.args4j.spi.OneArgumentOptionHandler;
import org.kohsuke.args4j.spi.Setter;
import org.redwinghook.runtime.settings.Address;

/** Parses an option or operand of the form {@code HOST:PORT}. */
public final class AddressOptionHandler extends OneArgumentOptionHandler<Address> {

    private static final int MAXIMUM_PORT = 65_535;

    /**
     * Creates the handler.
     *
     * @param parser parser that calls the handler
     * @param option option or operand that takes the address
     * @param setter receives the address
     */
    public AddressOptionHandler(CmdLineParser parser, OptionDef option, Setter<? super Address> setter) {
        super(parser, option, setter);
    }

    // The base class reports a NumberFormatException as an invalid value of the option.
    @Override
    protected Address parse(String argument) {
        int colonIndex = argument.lastIndexOf(':');
        if (colonIndex < 1) {
            throw new NumberFormatException("expected HOST:PORT: " + argument);
        }
        int port = Integer.parseInt(argument.substring(colonIndex + 1));
        if (port < 1 || port > MAXIMUM_PORT) {
            throw new NumberFormatException("port out of range: " + port);
        }
        return new Address(argument.substring(0, colonIndex), port);
    }

    @Override
    public String getDefaultMetaVariable() {
        return "HOST:PORT";
    }
}
