package org.redwinghook.operator;

/**
 * A process that has not confirmed a change.
 *
 * @param vm name of the process
 * @param dataCentre data centre of its VM, empty if not known
 * @param admin address of its admin port
 * @param problem offset that the process reported, or why the request failed
 */
public record UnconfirmedProcess(String vm, String dataCentre, String admin, String problem) {

    @Override
    public String toString() {
        String location = dataCentre.isEmpty() ? "" : " in " + dataCentre;
        return "not confirmed by " + vm + location + " (" + admin + "): " + problem;
    }
}
