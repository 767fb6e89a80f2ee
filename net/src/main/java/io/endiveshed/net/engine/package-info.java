/** HTTP client of the control interface of model engines. */
package io.endiveshed.net.engine;
