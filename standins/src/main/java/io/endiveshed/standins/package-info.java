/** Stand-ins for engines, plain services and the platform; development only. */
package io.endiveshed.standins;
