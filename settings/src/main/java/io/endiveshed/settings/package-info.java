/** Reads YAML settings files and reports all errors of a file at once. */
package io.endiveshed.settings;
