import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Callers put names into the path and the query of their requests as UTF-8 bytes. Without the trouble they encode the same
 * names with percent signs.
 */
public final class Case10 {

    private static final String PREFIX = "/filing/";
    private static final String[] NAMES = {"Ó_Briain", "Párna_Műhely", "Dún_Laoghaire", "Kecskemét", "Wien"};

    private Case10() {}

    public static void main(String[] arguments) throws Exception {
        Stage stage = new Stage(Path.of(arguments[0]));
        Map<String, String> run = new ConcurrentHashMap<>();
        stage.configure(
                1,
                Stage.route(PREFIX, "filing", "non_idempotent", 1_500, 1, false) + "," + Lookups.route(),
                "{\"name\":\"filing\"},{\"name\":\"desk\"}");
        for (String service : new String[] {"filing", Lookups.SERVICE}) {
            stage.startServer(service + "-1", service, 6, (server, head, in, connection) -> {
                Stage.readBody(in, head);
                run.put(head.get("redwinghook-attempt-id"), head.path());
                connection.getOutputStream()
                        .write((server.answerHead(head, 200, "Content-Length: 2\r\n") + "ok")
                                .getBytes(StandardCharsets.US_ASCII));
                return true;
            });
        }
        Stage.Router router = stage.startRouter("router-1");
        Map<String, String> sent = new LinkedHashMap<>();
        for (int round = 1; round <= 4; round++) {
            for (String name : NAMES) {
                String text = stage.trouble ? name : URLEncoder.encode(name, StandardCharsets.UTF_8);
                boolean isFiling = round % 2 == 1;
                String target = round <= 2
                        ? (isFiling ? PREFIX : Lookups.PREFIX) + text
                        : (isFiling ? PREFIX : Lookups.PREFIX) + "1?publisher=" + text;
                String id = "request-" + (sent.size() + 1);
                sent.put(id, new String(target.getBytes(StandardCharsets.UTF_8), StandardCharsets.ISO_8859_1));
                String outcome = send(router, isFiling ? "POST" : "GET", target, id);
                stage.write("request id=%s target=%s outcome=%s", id, escape(sent.get(id)), outcome);
            }
        }
        int changed = 0;
        for (Map.Entry<String, String> request : sent.entrySet()) {
            String received = run.get(request.getKey());
            boolean isChanged = received != null && !received.equals(request.getValue());
            changed += isChanged ? 1 : 0;
            stage.write("server ran id=%s target=%s changed=%s", request.getKey(),
                    received == null ? "none" : escape(received), isChanged);
        }
        stage.end(changed > 0, "requests=" + sent.size() + " run=" + run.size() + " runWithAnotherPathOrQuery=" + changed);
    }

    private static String send(Stage.Router router, String method, String target, String id) {
        try (Socket socket = router.connect()) {
            socket.setSoTimeout(5_000);
            String length = method.equals("POST") ? "Content-Length: 0\r\n" : "";
            socket.getOutputStream()
                    .write(Stage.requestHead(method, target, id, 2_500, length).getBytes(StandardCharsets.UTF_8));
            InputStream in = new BufferedInputStream(socket.getInputStream());
            Stage.Head head = Stage.readHead(in);
            return head == null ? "closed" : String.valueOf(head.status());
        } catch (IOException failure) {
            return failure.toString();
        }
    }

    /** Shows bytes beyond ASCII as hexadecimal numbers. */
    private static String escape(String bytes) {
        StringBuilder text = new StringBuilder();
        for (char character : bytes.toCharArray()) {
            text.append(character < 0x7f ? String.valueOf(character) : String.format("\\x%02x", (int) character));
        }
        return text.toString();
    }
}
