/** What the cases share: the disruption switch and the exit status. */
final class Cases {

	static final int HELD = 0;

	static final int BROKEN = 1;

	static final int NOT_RUN = 2;

	private Cases() {
	}

	/** Returns whether the disruption happens; TROUBLE=0 leaves it out. */
	static boolean trouble() {
		return !"0".equals(System.getenv("TROUBLE"));
	}

	/** Runs a case and exits with its status, or with 2 if it could not run. */
	static void exit(Case scenario) {
		int status = NOT_RUN;
		try {
			status = scenario.run();
		}
		catch (Exception ex) {
			ex.printStackTrace();
		}
		System.exit(status);
	}

	/** A case. */
	interface Case {

		/** Returns the exit status. */
		int run() throws Exception;

	}

}
