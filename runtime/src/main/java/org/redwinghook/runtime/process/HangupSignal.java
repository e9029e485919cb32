package org.redwinghook.runtime.process;

import java.lang.reflect.Proxy;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Receives SIGHUP, which would end a virtual machine without a handler. The handler's type is not part of the Java
 * platform's specification, so it is found by name.
 */
final class HangupSignal {

    private static final Logger LOGGER = LoggerFactory.getLogger(HangupSignal.class);
    private static final String SIGNAL_CLASS = "sun.misc.Signal";
    private static final String HANDLER_CLASS = "sun.misc.SignalHandler";

    private HangupSignal() {}

    /**
     * Registers a handler.
     *
     * @param handler called on a thread of the virtual machine for each signal
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
            LOGGER.warn("SIGHUP ends this process, as its handler cannot be registered: {}", exception.toString());
        }
    }
}
