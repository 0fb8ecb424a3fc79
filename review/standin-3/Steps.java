import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** The configuration and the batch jobs of the cases. */
final class Steps {

	private Steps() {
	}

	/**
	 * Sets routes like those of a small deployment, without calls for rewards.
	 * @param maxAttempts the attempts that the route of batch jobs allows
	 */
	static void configure(Rig rig, int maxAttempts) throws IOException, InterruptedException {
		rig.configure(routes(maxAttempts), services());
	}

	static String routes(int maxAttempts) {
		return """
				{"name":"view","host":"%1$s","pathPrefix":"/view/","kind":"idempotent","timeoutMs":2000,"targetLatencyMs":186,"priority":2,"service":"app","maxAttempts":2,"public":false},
				{"name":"draft","host":"%1$s","pathPrefix":"/draft/","kind":"rollout","timeoutMs":10000,"targetLatencyMs":400,"priority":1,"service":"drafts","maxAttempts":%2$d,"resultDeadlineMs":7500,"queueTtlS":40,"resumable":true,"sticky":true}"""
			.formatted(Rig.HOST, maxAttempts);
	}

	static String services() {
		return """
				{"name":"app","healthPath":"/health","maxConns":100,"protocol":"h1","tls":false},
				{"name":"drafts","healthPath":"/health","maxConns":140,"protocol":"h1","tls":false,"engine":{"slots":4,"kvCapacityTokens":75804,"kvTokenBytes":163840,"linkMbps":4400000.0,"models":[{"name":"m"}]}}""";
	}

	/** Returns a batch job of groups of four items with ids of their own. */
	static String job(int step, int minVersion, int items, String prefix) {
		List<String> requests = new ArrayList<>();
		for (int i = 0; i < items; i++) {
			requests.add(item(prefix + "-i" + i, prefix + "-g" + i / 4));
		}
		return job(step, minVersion, items / 4, requests);
	}

	static String job(int step, int minVersion, int desired, List<String> requests) {
		return "{\"step\":%d,\"model\":\"m\",\"minVersion\":%d,\"desired\":%d,\"requests\":[%s]}".formatted(step,
				minVersion, desired, String.join(",", requests));
	}

	static String item(String id, String group) {
		return "{\"id\":\"%s\",\"path\":\"/draft/%s\",\"headers\":{\"Model\":\"m\",\"Token-Usage\":\"16,200\",\"Prompt-Prefix\":\"9c2e41:16\",\"Length-Hint\":\"100\"},\"body\":\"q83vEjRWeJA=\",\"tokens\":216,\"group\":\"%s\"}"
			.formatted(id, id, group);
	}

}
