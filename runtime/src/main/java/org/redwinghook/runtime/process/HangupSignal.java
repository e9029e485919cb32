package org.redwinghook.runtime.process;

import java.lang.reflect.Proxy;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Handles SIGHUP, which terminates a Java virtual machine without a handler. The classes for signals are not part of
 * the Java SE specification, so they are loaded by name.
 */
final class HangupSignal {

    private static final Logger LOGGER = LoggerFactory.getLogger(HangupSignal.class);
    private static final String SIGNAL_CLASS = "sun.misc.Signal";
    private static final String HANDLER_CLASS = "sun.misc.SignalHandler";

    private HangupSignal() {}

    /**
     * Registers a handler.
     *
     * @param handler called for each signal, on a thread of the Java virtual machine
     */
    static void registerHandler(Runnable handler) {
        try {
            Class<?> signal = Class.forName(SIGNAL_CLASS);
            Class<?> handlerType = Class.forName(HANDLER_CLASS);
            Object proxy = Proxy.newProxyInstance(
                    HangupSignal.class.getClassLoader(), new Class<?>[] {handlerType}, (self, method, arguments) -> {
                        if (method.getName().equals("handle")) {
                            handler.run();
                            return null;
                        }
                        return method.getName().equals("hashCode") ? 0 : self == arguments[0];
                    });
            Object hangup = signal.getConstructor(String.class).newInstance("HUP");
            signal.getMethod("handle", signal, handlerType).invoke(null, hangup, proxy);
        } catch (ReflectiveOperationException | IllegalArgumentException exception) {
            LOGGER.warn("SIGHUP handler not registered, SIGHUP will end the process cause={}", exception.toString());
        }
    }
}
