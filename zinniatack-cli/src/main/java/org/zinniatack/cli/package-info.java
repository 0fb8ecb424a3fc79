/**
 * The launcher: thin daemons and the operators' commands.
 */
@NullMarked
package org.zinniatack.cli;

import org.jspecify.annotations.NullMarked;
