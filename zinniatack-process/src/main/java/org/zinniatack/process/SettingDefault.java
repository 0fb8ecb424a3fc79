package org.zinniatack.process;

import java.lang.annotation.ElementType;
import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;
import java.lang.annotation.Target;

/**
 * The value of a settings field that a settings file may leave out, so that files of
 * earlier versions are still read.
 */
@Retention(RetentionPolicy.RUNTIME)
@Target(ElementType.RECORD_COMPONENT)
public @interface SettingDefault {

	/**
	 * Returns the value as it would stand in the file.
	 * @return the value in JSON
	 */
	String value();

}
