package org.zinniatack.cli;

import java.security.SecureRandom;
import java.util.HexFormat;
import java.util.concurrent.Callable;

import picocli.CommandLine;

import org.zinniatack.core.key.Sha256Digest;

/**
 * Generates a key and its digest on the operator's machine, so that only the digest is
 * sent to the system.
 */
@CommandLine.Command(name = "key", mixinStandardHelpOptions = true,
		description = "Generates a key and its digest; only the digest goes into a record.")
final class KeyCommand implements Callable<Integer> {

	private static final int KEY_BYTES = 24;

	@CommandLine.Option(names = "--digest-of", description = "print this key and its digest instead of a new key")
	private String existingKey;

	@Override
	public Integer call() {
		byte[] bytes = new byte[KEY_BYTES];
		new SecureRandom().nextBytes(bytes);
		String key = (this.existingKey != null) ? this.existingKey : "zk-" + HexFormat.of().formatHex(bytes);
		System.out.println("key=" + key + " digest=" + Sha256Digest.of(key).hex());
		return 0;
	}

}
